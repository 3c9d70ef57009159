package org.marjoramgw.policy.reading;

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
public final class ReadingGate {

	/** Part of the target within which a first token has to come once it was sent. */
	private static final double GOAL_SHARE = 0.6;

	/** Part of the target for which a prompt waits here to be sent in time. */
	private static final double HOLD_SHARE = 0.3;

	private final MillisClock clock;

	private final Executor executor;

	private final Map<Key, Line> lineByKey = new HashMap<>();

	/**
	 * Creates a gate.
	 * @param clock monotonic clock
	 * @param executor runs the start of a request that had to wait
	 */
	public ReadingGate(MillisClock clock, Executor executor) {
		this.clock = clock;
		this.executor = executor;
	}

	/**
	 * Returns how long a prompt waits here before it is passed by.
	 * @param targetMillis target of its kind of request for the first token, in
	 * milliseconds
	 * @return time in milliseconds
	 */
	public static long holdMillis(long targetMillis) {
		return (long) (HOLD_SHARE * targetMillis);
	}

	/**
	 * Starts a request, at once if its server may get its prompt now.
	 * @param serverId id of the server
	 * @param kind kind of request; each has a limit of its own
	 * @param targetMillis target of the kind for the first token, in milliseconds
	 * @param start starts it; may be called before this method returns
	 * @return its place
	 */
	public Place enter(String serverId, String kind, long targetMillis, Runnable start) {
		Place place = new Place(new Key(serverId, kind), targetMillis, start);
		synchronized (this) {
			Line line = this.lineByKey.computeIfAbsent(place.key, (key) -> new Line());
			if (!line.limit.hasRoom(line.readingCount)) {
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
		return this.lineByKey.values().stream().mapToInt((line) -> line.waiting.size()).sum();
	}

	/**
	 * Forgets what was learned of servers that have nothing to read and none waiting.
	 * @param isKnown tells whether a server still exists
	 */
	public synchronized void retain(Predicate<String> isKnown) {
		this.lineByKey.entrySet()
			.removeIf((entry) -> entry.getValue().isEmpty() && !isKnown.test(entry.getKey().serverId()));
	}

	private void leave(Place place, boolean firstToken) {
		Place next = takeOut(place, firstToken);
		while (next != null) {
			this.executor.execute(next.start);
			next = admitNext(place.key);
		}
	}

	private synchronized Place takeOut(Place place, boolean firstToken) {
		Line line = this.lineByKey.get(place.key);
		if (place.left || line == null) {
			return null;
		}
		place.left = true;
		if (!place.admitted) {
			line.waiting.remove(place);
			return null;
		}
		line.readingCount--;
		long nowMillis = this.clock.nowMillis();
		long waitMillis = nowMillis - place.admittedMillis;
		long goalMillis = (long) (GOAL_SHARE * place.targetMillis);
		if (firstToken || waitMillis > goalMillis) {
			line.limit.onFirstToken(waitMillis, goalMillis, nowMillis);
		}
		return admitNext(place.key);
	}

	private synchronized Place admitNext(Key key) {
		Line line = this.lineByKey.get(key);
		if (line == null || line.waiting.isEmpty() || !line.limit.hasRoom(line.readingCount)) {
			return null;
		}
		Place newest = line.waiting.removeLast();
		newest.admit(line, this.clock.nowMillis());
		return newest;
	}

	private record Key(String serverId, String kind) {
	}

	private static final class Line {

		private final ReadingLimit limit = new ReadingLimit();

		private final Deque<Place> waiting = new ArrayDeque<>();

		private int readingCount;

		private boolean isEmpty() {
			return this.readingCount == 0 && this.waiting.isEmpty();
		}

	}

	/**
	 * Place of one request.
	 */
	public final class Place {

		private final Key key;

		private final long targetMillis;

		private final Runnable start;

		private boolean admitted;

		private long admittedMillis;

		private boolean left;

		private Place(Key key, long targetMillis, Runnable start) {
			this.key = key;
			this.targetMillis = targetMillis;
			this.start = start;
		}

		/**
		 * Gives the place back because the first token came; further calls do nothing.
		 */
		public void onFirstToken() {
			ReadingGate.this.leave(this, true);
		}

		/**
		 * Gives the place back because the request ended or is passed by; further calls
		 * do nothing.
		 */
		public void leave() {
			ReadingGate.this.leave(this, false);
		}

		private void admit(Line line, long nowMillis) {
			this.admitted = true;
			this.admittedMillis = nowMillis;
			line.readingCount++;
		}

	}

}
