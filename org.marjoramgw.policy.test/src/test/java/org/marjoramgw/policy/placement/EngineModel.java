package org.marjoramgw.policy.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.marjoramgw.policy.fleet.LoadObserver.RequestObserver;

/**
 * Model of an engine with continuous batching and a cache of shared prompts: each step
 * reads one chunk of the most urgent prompt and makes one token of each running stream.
 *
 * @author The marjoramgw authors
 */
final class EngineModel {

	private static final double STEP_MILLIS = 5.6;

	private static final double STEP_MILLIS_PER_STREAM = 0.12;

	private static final double TOKENS_PER_MILLI = 55;

	private static final int CHUNK_TOKENS = 2_048;

	private final double slowness;

	private final List<Request> waiting = new ArrayList<>();

	private final List<Request> running = new ArrayList<>();

	private final Set<String> cachedPrefixes = new HashSet<>();

	/** Shared tokens that were read, by shared prompt. */
	private final Map<String, Double> sharedTokensRead = new HashMap<>();

	private double tokensRead;

	private double busyMillis;

	private double nowMillis;

	/** Factor of all times until {@link #slowUntilMillis}. */
	private double slowdown = 1;

	private double slowUntilMillis;

	EngineModel(double slowness) {
		this.slowness = slowness;
	}

	void slowDown(double factor, double untilMillis) {
		this.slowdown = factor;
		this.slowUntilMillis = untilMillis;
	}

	void add(Request request) {
		this.waiting.add(request);
		this.waiting.sort(Comparator.comparingInt((waiting) -> waiting.rank));
	}

	int load() {
		return this.waiting.size() + this.running.size();
	}

	double tokensRead() {
		return this.tokensRead;
	}

	/**
	 * Returns the time in which the engine read prompts.
	 * @return time in milliseconds
	 */
	double busyMillis() {
		return this.busyMillis;
	}

	Map<String, Double> sharedTokensRead() {
		return this.sharedTokensRead;
	}

	void runUntil(double endMillis) {
		while (this.nowMillis < endMillis) {
			if (load() == 0) {
				this.nowMillis = endMillis;
				return;
			}
			step();
		}
	}

	private void step() {
		int chunk = 0;
		if (!this.waiting.isEmpty()) {
			Request first = this.waiting.get(0);
			if (first.unreadTokens < 0) {
				boolean cached = this.cachedPrefixes.contains(first.prefix);
				first.unreadTokens = first.ownTokens + (cached ? 0 : first.sharedTokens);
				if (!cached) {
					this.sharedTokensRead.merge(first.prefix, (double) first.sharedTokens, Double::sum);
				}
			}
			chunk = Math.min(CHUNK_TOKENS, first.unreadTokens);
			first.unreadTokens -= chunk;
			this.tokensRead += chunk;
			if (first.unreadTokens == 0) {
				this.cachedPrefixes.add(first.prefix);
				this.running.add(this.waiting.remove(0));
			}
		}
		double factor = this.slowness * ((this.nowMillis < this.slowUntilMillis) ? this.slowdown : 1);
		this.busyMillis += factor * chunk / TOKENS_PER_MILLI;
		this.nowMillis += factor
				* (STEP_MILLIS + STEP_MILLIS_PER_STREAM * this.running.size() + chunk / TOKENS_PER_MILLI);
		for (Iterator<Request> each = this.running.iterator(); each.hasNext();) {
			if (each.next().onToken(this.nowMillis)) {
				each.remove();
			}
		}
	}

	/**
	 * Request at an engine.
	 */
	static final class Request {

		/** Time from the engine to the entry and back beside the prompt. */
		private static final double LATENCY_MILLIS = 60;

		private static final int TOKENS_PER_EVENT = 4;

		final String kind;

		final int rank;

		final String prefix;

		final int sharedTokens;

		final int ownTokens;

		final double sentMillis;

		private final int tokenLimit;

		private int unreadTokens = -1;

		private int tokens;

		private double lastEventMillis;

		double firstMillis = Double.MAX_VALUE;

		double longestPauseMillis;

		RequestObserver observer = RequestObserver.NONE;

		Request(String kind, int rank, String prefix, int sharedTokens, int ownTokens, int tokenLimit,
				double sentMillis) {
			this.kind = kind;
			this.rank = rank;
			this.prefix = prefix;
			this.sharedTokens = sharedTokens;
			this.ownTokens = ownTokens;
			this.tokenLimit = tokenLimit;
			this.sentMillis = sentMillis;
		}

		private boolean onToken(double nowMillis) {
			if (++this.tokens == 1) {
				this.firstMillis = nowMillis + LATENCY_MILLIS - this.sentMillis;
				this.observer.onFirstToken();
				this.lastEventMillis = nowMillis;
			}
			else if (this.tokens % TOKENS_PER_EVENT == 1) {
				this.longestPauseMillis = Math.max(this.longestPauseMillis, nowMillis - this.lastEventMillis);
				this.lastEventMillis = nowMillis;
			}
			if (this.tokens == this.tokenLimit) {
				this.observer.onEnd(false);
				return true;
			}
			return false;
		}

	}

}
