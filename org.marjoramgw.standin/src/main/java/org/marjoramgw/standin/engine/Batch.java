package org.marjoramgw.standin.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.marjoramgw.MillisClock;

/**
 * Simulates continuous batching: each step generates one token for each running
 * generation, and takes longer the more of them run; thread-safe.
 *
 * @author The marjoramgw authors
 */
final class Batch {

	private static final long NANOS_PER_MICRO = 1_000;

	private final EngineSettings settings;

	private final MillisClock clock;

	private final ScheduledExecutorService timer;

	private final PrefixCache cache;

	private final ExecutionHistory history;

	private final PriorityQueue<Generation> waiting = new PriorityQueue<>(
			Comparator.comparingInt(Generation::tier).thenComparingLong(Generation::sequence));

	private final List<Generation> running = new ArrayList<>();

	private final Runnable onCrash;

	private boolean stepping;

	private boolean crashed;

	private int tokensUntilCrash;

	private double straggleFactor = 1;

	private long nextSequence;

	Batch(EngineSettings settings, MillisClock clock, ScheduledExecutorService timer, Runnable onCrash) {
		this.settings = settings;
		this.clock = clock;
		this.timer = timer;
		this.cache = new PrefixCache(settings.cacheBlockCount());
		this.history = new ExecutionHistory(settings.executionCount());
		this.onCrash = onCrash;
	}

	synchronized void submit(ChatCall call, ResponseText response, int continueFromTokens, TokenSink sink) {
		Generation generation = new Generation(call, response, continueFromTokens, sink, this.nextSequence++);
		if (this.crashed) {
			sink.abort();
			return;
		}
		this.waiting.add(generation);
		admit();
		if (!this.stepping) {
			this.stepping = true;
			scheduleStep();
		}
	}

	synchronized CancelResult cancel(String requestId) {
		for (Generation generation : this.waiting) {
			if (generation.requestId().equals(requestId)) {
				this.waiting.remove(generation);
				generation.cancel(this.clock.nowMillis());
				return CancelResult.NOT_STARTED;
			}
		}
		for (Generation generation : this.running) {
			if (generation.requestId().equals(requestId)) {
				this.running.remove(generation);
				generation.cancel(this.clock.nowMillis());
				return CancelResult.STARTED;
			}
		}
		return CancelResult.UNKNOWN;
	}

	synchronized void setCrashAfterTokens(int tokens) {
		this.tokensUntilCrash = tokens;
		this.crashed = this.crashed && tokens > 0;
	}

	synchronized void setStraggleFactor(double factor) {
		this.straggleFactor = factor;
	}

	synchronized Load load() {
		return new Load(this.running.size(), this.waiting.size());
	}

	synchronized List<Execution> executions() {
		return this.history.list();
	}

	synchronized void abortAll() {
		long now = this.clock.nowMillis();
		this.running.forEach((generation) -> generation.crash(now));
		this.waiting.forEach((generation) -> generation.crash(now));
		this.running.clear();
		this.waiting.clear();
	}

	private void admit() {
		while (this.running.size() < this.settings.maxBatchCount() && !this.waiting.isEmpty()) {
			Generation generation = this.waiting.remove();
			int tokens = this.cache.prefillTokens(generation.prefillText());
			long prefillNanos = withStraggleFactor(tokens * this.settings.prefillTokenMicros() * NANOS_PER_MICRO);
			generation.start(tokens, System.nanoTime() + prefillNanos, this.clock.nowMillis());
			this.running.add(generation);
			this.history.add(generation);
		}
	}

	private void scheduleStep() {
		long gapMicros = this.settings.baseGapMicros() + this.settings.perSequenceMicros() * this.running.size();
		this.timer.schedule(this::step, withStraggleFactor(gapMicros * NANOS_PER_MICRO), TimeUnit.NANOSECONDS);
	}

	private synchronized void step() {
		long nowNanos = System.nanoTime();
		for (Generation generation : List.copyOf(this.running)) {
			if (this.running.contains(generation) && generation.isPrefillDone(nowNanos)) {
				advance(generation);
			}
		}
		admit();
		this.stepping = !this.running.isEmpty();
		if (this.stepping) {
			scheduleStep();
		}
	}

	private void advance(Generation generation) {
		boolean connected = generation.isComplete() || generation.step();
		if (!connected) {
			this.running.remove(generation);
			generation.cancel(this.clock.nowMillis());
		}
		else if (generation.isComplete()) {
			this.running.remove(generation);
			generation.finish(this.clock.nowMillis());
		}
		countDownToCrash();
	}

	private void countDownToCrash() {
		if (this.tokensUntilCrash == 0) {
			return;
		}
		this.tokensUntilCrash--;
		if (this.tokensUntilCrash == 0) {
			this.crashed = true;
			abortAll();
			this.onCrash.run();
		}
	}

	private long withStraggleFactor(long nanos) {
		return Math.round(nanos * this.straggleFactor);
	}

}
