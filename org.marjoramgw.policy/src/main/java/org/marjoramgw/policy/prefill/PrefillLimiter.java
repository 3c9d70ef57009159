package org.marjoramgw.policy.prefill;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.Predicate;

import org.marjoramgw.MillisClock;

/**
 * Keeps prompts back while their server has more to read than it can in time;
 * thread-safe.
 * <p>
 * It answers bursts of long prompts. If all are sent, the server reads them in order, and
 * after a moment each one waits as long as the whole queue: all are late. Here the newest
 * goes first, which can still be in time. One that has waited too long for that is passed
 * by: its owner sends it at the least urgent rank, so that it runs when nothing that can
 * be in time does.
 *
 * @author The marjoramgw authors
 */
public final class PrefillLimiter {

	/** Part of the target within which a first token has to come once it was sent. */
	private static final double FIRST_TOKEN_FRACTION = 0.6;

	/** Part of the target for which a prompt waits here to be sent in time. */
	private static final double MAX_WAIT_FRACTION = 0.3;

	private final MillisClock clock;

	private final Executor executor;

	private final Map<Key, PromptQueue> queueByKey = new HashMap<>();

	/**
	 * Creates a gate.
	 * @param clock monotonic clock
	 * @param executor runs the start of a request that had to wait
	 */
	public PrefillLimiter(MillisClock clock, Executor executor) {
		this.clock = clock;
		this.executor = executor;
	}

	/**
	 * Returns how long a prompt waits here before it is passed by.
	 * @param targetMillis target of its kind of request for the first token, in
	 * milliseconds
	 * @return time in milliseconds
	 */
	public static long maxWaitMillis(long targetMillis) {
		return (long) (MAX_WAIT_FRACTION * targetMillis);
	}

	/**
	 * Starts a request, at once if its server may get its prompt now.
	 * @param serverId id of the server
	 * @param kind kind of request; each has a limit of its own
	 * @param targetMillis target of the kind for the first token, in milliseconds
	 * @param start starts it; may be called before this method returns
	 * @return its place
	 */
	public Permit acquire(String serverId, String kind, long targetMillis, Runnable start) {
		Permit place = new Permit(new Key(serverId, kind), targetMillis, start);
		synchronized (this) {
			PromptQueue line = this.queueByKey.computeIfAbsent(place.key, (key) -> new PromptQueue());
			if (!line.limit.hasRoom(line.inFlightCount)) {
				line.waiting.addLast(place);
				return place;
			}
			place.admit(line, this.clock.nowMillis());
		}
		start.run();
		return place;
	}

	/**
	 * Returns how many requests wait.
	 * @return the number of requests for all servers
	 */
	public synchronized int waitingCount() {
		return this.queueByKey.values().stream().mapToInt((line) -> line.waiting.size()).sum();
	}

	/**
	 * Forgets what was learned of servers that have nothing to read and none waiting.
	 * @param isKnown tells whether a server still exists
	 */
	public synchronized void retainServers(Predicate<String> isKnown) {
		this.queueByKey.entrySet()
			.removeIf((entry) -> entry.getValue().isEmpty() && !isKnown.test(entry.getKey().serverId()));
	}

	private void release(Permit place, boolean firstToken) {
		Permit next = remove(place, firstToken);
		while (next != null) {
			this.executor.execute(next.start);
			next = admitNext(place.key);
		}
	}

	private synchronized Permit remove(Permit place, boolean firstToken) {
		PromptQueue line = this.queueByKey.get(place.key);
		if (place.released || line == null) {
			return null;
		}
		place.released = true;
		if (!place.admitted) {
			line.waiting.remove(place);
			return null;
		}
		line.inFlightCount--;
		long nowMillis = this.clock.nowMillis();
		long waitMillis = nowMillis - place.admittedMillis;
		long goalMillis = (long) (FIRST_TOKEN_FRACTION * place.targetMillis);
		if (firstToken || waitMillis > goalMillis) {
			line.limit.onFirstToken(waitMillis, goalMillis, nowMillis);
		}
		return admitNext(place.key);
	}

	private synchronized Permit admitNext(Key key) {
		PromptQueue line = this.queueByKey.get(key);
		if (line == null || line.waiting.isEmpty() || !line.limit.hasRoom(line.inFlightCount)) {
			return null;
		}
		Permit newest = line.waiting.removeLast();
		newest.admit(line, this.clock.nowMillis());
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
	 * Place of one request.
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
		 * Gives the place back because the first token came; further calls do nothing.
		 */
		public void onFirstToken() {
			PrefillLimiter.this.release(this, true);
		}

		/**
		 * Gives the place back because the request ended or is passed by; further calls
		 * do nothing.
		 */
		public void release() {
			PrefillLimiter.this.release(this, false);
		}

		private void admit(PromptQueue line, long nowMillis) {
			this.admitted = true;
			this.admittedMillis = nowMillis;
			line.inFlightCount++;
		}

	}

}
