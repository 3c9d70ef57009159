package org.marjoramgw.policy.prefill;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.Predicate;

import org.marjoramgw.MillisClock;

/**
 * Limits the prompts in prefill at each backend server, separately for each kind of
 * request; thread-safe.
 * <p>
 * Handles bursts of long prompts. If all prompts of a burst were sent, the server would
 * process them in order, and soon each would wait for the whole queue and miss its
 * target. Requests above the limit therefore wait here and are admitted last in, first
 * out, since the newest can still meet its target. A request that has waited for
 * {@link #maxWaitMillis} no longer can: its owner releases the permit and sends the
 * request behind those of its rank that can still meet their target.
 *
 * @author The marjoramgw authors
 */
public final class PrefillLimiter {

	/** Fraction of the target within which the first token is due after the send. */
	private static final double FIRST_TOKEN_FRACTION = 0.6;

	/** Fraction of the target for which a request may wait for its permit. */
	private static final double MAX_WAIT_FRACTION = 0.3;

	private final MillisClock clock;

	private final Executor executor;

	private final Map<Key, PromptQueue> queueByKey = new HashMap<>();

	/**
	 * Creates a limiter.
	 * @param clock monotonic clock
	 * @param executor runs the start tasks of requests that had to wait
	 */
	public PrefillLimiter(MillisClock clock, Executor executor) {
		this.clock = clock;
		this.executor = executor;
	}

	/**
	 * Returns how long a request may wait for its permit before it is sent without one.
	 * @param targetMillis target of its kind of request for the time to the first token,
	 * in milliseconds
	 * @return time in milliseconds
	 */
	public static long maxWaitMillis(long targetMillis) {
		return (long) (MAX_WAIT_FRACTION * targetMillis);
	}

	/**
	 * Requests a permit and starts the request once it is admitted, at once if the server
	 * is below its limit.
	 * @param serverId id of the server
	 * @param kind kind of request; each kind has a limit of its own
	 * @param targetMillis target of the kind for the time to the first token, in
	 * milliseconds
	 * @param start starts the request; may be called before this method returns
	 * @return the permit, admitted or still waiting
	 */
	public Permit acquire(String serverId, String kind, long targetMillis, Runnable start) {
		Permit permit = new Permit(new Key(serverId, kind), targetMillis, start);
		synchronized (this) {
			PromptQueue queue = this.queueByKey.computeIfAbsent(permit.key, (key) -> new PromptQueue());
			if (!queue.limit.hasRoom(queue.inFlightCount)) {
				queue.waiting.addLast(permit);
				return permit;
			}
			permit.admit(queue, this.clock.nowMillis());
		}
		start.run();
		return permit;
	}

	/**
	 * Starts all requests that wait for a permit at a server, the newest first and
	 * without a permit, because they have to go to another one.
	 * @param serverId id of the server
	 */
	public void startWaiting(String serverId) {
		List<Permit> waiting = new ArrayList<>();
		synchronized (this) {
			this.queueByKey.forEach((key, queue) -> {
				if (key.serverId().equals(serverId)) {
					queue.waiting.descendingIterator().forEachRemaining(waiting::add);
					queue.waiting.clear();
				}
			});
			waiting.forEach((permit) -> permit.released = true);
		}
		waiting.forEach((permit) -> this.executor.execute(permit.start));
	}

	/**
	 * Returns the number of requests that wait for a permit.
	 * @return the number of requests for all servers
	 */
	public synchronized int waitingCount() {
		return this.queueByKey.values().stream().mapToInt((queue) -> queue.waiting.size()).sum();
	}

	/**
	 * Discards the adapted limits of servers that no longer exist, unless requests still
	 * wait for them or are in prefill there.
	 * @param isKnown returns whether a server still exists
	 */
	public synchronized void retainServers(Predicate<String> isKnown) {
		this.queueByKey.entrySet()
			.removeIf((entry) -> entry.getValue().isEmpty() && !isKnown.test(entry.getKey().serverId()));
	}

	private void release(Permit permit, boolean firstToken) {
		Permit next = remove(permit, firstToken);
		while (next != null) {
			this.executor.execute(next.start);
			next = admitNext(permit.key);
		}
	}

	private synchronized Permit remove(Permit permit, boolean firstToken) {
		PromptQueue queue = this.queueByKey.get(permit.key);
		if (permit.released || queue == null) {
			return null;
		}
		permit.released = true;
		if (!permit.admitted) {
			queue.waiting.remove(permit);
			return null;
		}
		queue.inFlightCount--;
		long nowMillis = this.clock.nowMillis();
		long waitMillis = nowMillis - permit.admittedMillis;
		long maxMillis = (long) (FIRST_TOKEN_FRACTION * permit.targetMillis);
		if (firstToken || waitMillis > maxMillis) {
			queue.limit.onFirstToken(waitMillis, maxMillis, nowMillis);
		}
		return admitNext(permit.key);
	}

	private synchronized Permit admitNext(Key key) {
		PromptQueue queue = this.queueByKey.get(key);
		if (queue == null || queue.waiting.isEmpty() || !queue.limit.hasRoom(queue.inFlightCount)) {
			return null;
		}
		Permit newest = queue.waiting.removeLast();
		newest.admit(queue, this.clock.nowMillis());
		return newest;
	}

	private record Key(String serverId, String kind) {
	}

	private static final class PromptQueue {

		private final AimdLimit limit = new AimdLimit();

		private final Deque<Permit> waiting = new ArrayDeque<>();

		private int inFlightCount;

		private boolean isEmpty() {
			return this.inFlightCount == 0 && this.waiting.isEmpty();
		}

	}

	/**
	 * Permit of one request, admitted or waiting.
	 */
	public final class Permit {

		private final Key key;

		private final long targetMillis;

		private final Runnable start;

		private boolean admitted;

		private long admittedMillis;

		private boolean released;

		private Permit(Key key, long targetMillis, Runnable start) {
			this.key = key;
			this.targetMillis = targetMillis;
			this.start = start;
		}

		/**
		 * Releases the permit because the first token arrived; further calls do nothing.
		 */
		public void onFirstToken() {
			PrefillLimiter.this.release(this, true);
		}

		/**
		 * Releases the permit because the request ended or is sent without it; further
		 * calls do nothing.
		 */
		public void release() {
			PrefillLimiter.this.release(this, false);
		}

		private void admit(PromptQueue queue, long nowMillis) {
			this.admitted = true;
			this.admittedMillis = nowMillis;
			queue.inFlightCount++;
		}

	}

}
