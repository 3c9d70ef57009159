package org.marjoramgw.policy.partition;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;

/**
 * Model of an engine with continuous batching: each step prefills one chunk of the most
 * urgent prompt and makes one token of each running stream.
 *
 * @author The marjoramgw authors
 */
final class PrefillServer {

	private static final double STEP_MILLIS = 4.2;

	private static final double STEP_MILLIS_PER_STREAM = 0.05;

	private static final double PREFILL_TOKENS_PER_MILLI = 64;

	private static final int CHUNK_TOKENS = 2_048;

	private final List<Stream> waiting = new ArrayList<>();

	private final List<Stream> running = new ArrayList<>();

	private double nowMillis;

	void add(Stream stream) {
		this.waiting.add(stream);
		this.waiting.sort(Comparator.comparingInt(Stream::rank));
	}

	int load() {
		return this.waiting.size() + this.running.size();
	}

	/**
	 * Runs steps until a time.
	 * @param endMillis the time, in milliseconds
	 * @return the streams that ended
	 */
	List<Stream> runUntil(double endMillis) {
		List<Stream> ended = new ArrayList<>();
		while (this.nowMillis < endMillis) {
			if (load() == 0) {
				this.nowMillis = endMillis;
				return ended;
			}
			step(ended);
		}
		return ended;
	}

	private void step(List<Stream> ended) {
		int batch = this.running.size();
		int chunk = 0;
		if (!this.waiting.isEmpty()) {
			Stream prompt = this.waiting.get(0);
			chunk = prompt.prefill(CHUNK_TOKENS);
			if (prompt.isPrefilled()) {
				this.running.add(this.waiting.remove(0));
			}
		}
		this.nowMillis += STEP_MILLIS + STEP_MILLIS_PER_STREAM * batch + chunk / PREFILL_TOKENS_PER_MILLI;
		for (Iterator<Stream> each = this.running.iterator(); each.hasNext();) {
			Stream stream = each.next();
			if (stream.onToken(this.nowMillis)) {
				ended.add(stream);
				each.remove();
			}
		}
	}

	/**
	 * Request with a prompt and a stream of events.
	 */
	static final class Stream {

		private static final int TOKENS_PER_EVENT = 4;

		private final StreamKind kind;

		private final double arrivedMillis;

		private int unreadTokens;

		private int tokenCount;

		private double lastEventMillis;

		private double longestPauseMillis;

		private double firstEventMillis;

		Stream(StreamKind kind, double arrivedMillis) {
			this.kind = kind;
			this.arrivedMillis = arrivedMillis;
			this.unreadTokens = kind.promptTokens();
		}

		StreamKind kind() {
			return this.kind;
		}

		double arrivedMillis() {
			return this.arrivedMillis;
		}

		boolean pauseWasLate() {
			return this.longestPauseMillis > this.kind.maxPauseMillis();
		}

		boolean isInTime() {
			return !pauseWasLate() && this.firstEventMillis - this.arrivedMillis <= this.kind.targetMillis();
		}

		private int rank() {
			return this.kind.rank();
		}

		private int prefill(int maxTokens) {
			int tokens = Math.min(this.unreadTokens, maxTokens);
			this.unreadTokens -= tokens;
			return tokens;
		}

		private boolean isPrefilled() {
			return this.unreadTokens == 0;
		}

		private boolean onToken(double nowMillis) {
			this.tokenCount++;
			if (this.tokenCount % TOKENS_PER_EVENT != 0) {
				return false;
			}
			if (this.tokenCount == TOKENS_PER_EVENT) {
				this.firstEventMillis = nowMillis;
			}
			else {
				this.longestPauseMillis = Math.max(this.longestPauseMillis, nowMillis - this.lastEventMillis);
			}
			this.lastEventMillis = nowMillis;
			return this.tokenCount == this.kind.eventCount() * TOKENS_PER_EVENT;
		}

	}

	/**
	 * Kind of request.
	 *
	 * @param name name of the kind
	 * @param rank rank; 0 is the most urgent
	 * @param perSecond requests a second
	 * @param promptTokens length of the prompt
	 * @param eventCount number of events
	 * @param targetMillis target for the first event, in milliseconds
	 * @param maxPauseMillis longest pause between events that is in time, in milliseconds
	 */
	record StreamKind(String name, int rank, double perSecond, int promptTokens, int eventCount, long targetMillis,
			long maxPauseMillis) {
	}

}
