package org.marjoramgw.platform;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.marjoramgw.direct.follow.AppendResult;
import org.marjoramgw.direct.follow.AppendableTopic;
import org.marjoramgw.direct.follow.KeyedRecord;
import org.marjoramgw.direct.follow.TopicPage;
import org.marjoramgw.direct.follow.TopicSlice;

/**
 * One process's access to a topic, with faults; thread-safe.
 *
 * @author The marjoramgw authors
 */
final class FaultyTopic implements AppendableTopic {

	private static final long LATE_MILLIS = 700;

	private static final Executor LATER = CompletableFuture.delayedExecutor(LATE_MILLIS, TimeUnit.MILLISECONDS);

	private static final Executor SOON = CompletableFuture.delayedExecutor(5, TimeUnit.MILLISECONDS);

	private final AppendableTopic topic;

	private final Supplier<Fault> faults;

	/**
	 * Creates an access.
	 * @param topic the topic
	 * @param faults returns the fault of the next call
	 */
	FaultyTopic(AppendableTopic topic, Supplier<Fault> faults) {
		this.topic = topic;
		this.faults = faults;
	}

	@Override
	public CompletionStage<TopicPage> readLatest(String afterKey) {
		return call(() -> this.topic.readLatest(afterKey));
	}

	@Override
	public CompletionStage<TopicSlice> read(long fromOffset, long waitMillis) {
		return call(() -> this.topic.read(fromOffset, waitMillis));
	}

	@Override
	public CompletionStage<Void> append(List<KeyedRecord> records) {
		return call(() -> this.topic.append(records));
	}

	@Override
	public CompletionStage<AppendResult> appendAt(List<KeyedRecord> records, long endOffset) {
		return call(() -> this.topic.appendAt(records, endOffset));
	}

	private <T> CompletionStage<T> call(Supplier<CompletionStage<T>> execution) {
		return switch (this.faults.get()) {
			case NONE -> CompletableFuture.supplyAsync(() -> null, SOON).thenCompose((ignored) -> execution.get());
			case ANSWER_LOST -> execution.get().thenCompose((ignored) -> lost());
			case EXECUTED_LATE -> {
				LATER.execute(execution::get);
				yield lost();
			}
			case AWAY -> lost();
		};
	}

	private static <T> CompletionStage<T> lost() {
		return CompletableFuture.supplyAsync(() -> null, SOON)
			.thenCompose((ignored) -> CompletableFuture.failedFuture(new IOException("no answer")));
	}

	/**
	 * Fault of a call.
	 */
	enum Fault {

		/** The call is executed and answered. */
		NONE,

		/** The call is executed without an answer. */
		ANSWER_LOST,

		/** The call is executed after its time-out. */
		EXECUTED_LATE,

		/** The call is not executed. */
		AWAY

	}

}
