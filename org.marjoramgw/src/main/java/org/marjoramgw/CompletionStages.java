package org.marjoramgw;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/**
 * Utility methods for {@link CompletionStage}.
 *
 * @author The marjoramgw authors
 */
public final class CompletionStages {

	private CompletionStages() {
	}

	/**
	 * Converts a stage created by Scala code to a future whose dependent stages run in
	 * the thread that completes it. Scala runs each dependent stage in the common pool
	 * instead, which on a VM with one core starts a new thread for each of them.
	 * @param <T> type of the result
	 * @param stage the stage
	 * @return a future with the same result
	 */
	public static <T> CompletableFuture<T> withDirectExecutor(CompletionStage<T> stage) {
		CompletableFuture<T> result = new CompletableFuture<>();
		stage.whenCompleteAsync((value, failure) -> {
			if (failure != null) {
				result.completeExceptionally(failure);
			}
			else {
				result.complete(value);
			}
		}, Runnable::run);
		return result;
	}

}
