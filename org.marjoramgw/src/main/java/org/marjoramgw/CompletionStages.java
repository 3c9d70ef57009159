package org.marjoramgw;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/**
 * Completion stages whose next steps run in the thread that completes them.
 *
 * @author The marjoramgw authors
 */
public final class CompletionStages {

	private CompletionStages() {
	}

	/**
	 * Converts a stage that Scala code made. Its next steps would each be handed to the
	 * common pool, which on a VM with one core starts a thread for each of them.
	 * @param <T> type of the result
	 * @param stage the stage
	 * @return a stage with the same result
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
