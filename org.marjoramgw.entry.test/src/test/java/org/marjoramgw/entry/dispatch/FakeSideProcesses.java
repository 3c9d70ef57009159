package org.marjoramgw.entry.dispatch;

import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.marjoramgw.policy.candidate.Candidate;
import org.marjoramgw.wire.Message;
import org.testng.Assert;

/**
 * Fake side processes that record the messages sent to them and never answer.
 *
 * @author The marjoramgw authors
 */
final class FakeSideProcesses implements SideProcesses {

	static final long INCARNATION = 7;

	private static final long WAIT_MILLIS = 5_000;

	private final List<Candidate> candidates;

	private final BlockingQueue<Sent> sent = new LinkedBlockingQueue<>();

	FakeSideProcesses(String... sideIds) {
		this.candidates = List.of(sideIds).stream().map((id) -> new Candidate(id, "a", 0, 0, 4)).toList();
	}

	@Override
	public List<Candidate> live(String pool) {
		return this.candidates;
	}

	@Override
	public void send(String sideId, Message message) {
		this.sent.add(new Sent(sideId, message));
	}

	@Override
	public OptionalLong incarnation(String sideId) {
		return OptionalLong.of(INCARNATION);
	}

	<T extends Message> Received<T> next(Class<T> type) {
		while (true) {
			Sent next = poll();
			if (type.isInstance(next.message())) {
				return new Received<>(next.sideId(), type.cast(next.message()));
			}
		}
	}

	boolean noneSent(Class<? extends Message> type) {
		return this.sent.stream().noneMatch((sentMessage) -> type.isInstance(sentMessage.message()));
	}

	private Sent poll() {
		try {
			Sent next = this.sent.poll(WAIT_MILLIS, TimeUnit.MILLISECONDS);
			Assert.assertNotNull(next, "nothing was sent");
			return next;
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	/**
	 * Message that was sent, of any type.
	 *
	 * @param sideId process id of the receiver
	 * @param message the message
	 */
	record Sent(String sideId, Message message) {
	}

	/**
	 * Message that was sent, of the type that the test waited for.
	 *
	 * @param <T> type of the message
	 * @param sideId process id of the receiver
	 * @param message the message
	 */
	record Received<T extends Message>(String sideId, T message) {
	}

}
