package org.marjoramgw.direct.forward;

import java.util.function.BiConsumer;

import org.marjoramgw.ResultCode;

/**
 * Translates the end of a streamed response into a result code.
 *
 * @author The marjoramgw authors
 */
final class StreamObserver implements BodyObserver {

	private final Runnable onFirstBytes;

	private final Runnable onProgress;

	private final BiConsumer<ResultCode, String> onEnd;

	private final PauseMeter pauses;

	/**
	 * Creates an observer.
	 * @param onFirstBytes called when the first bytes arrive
	 * @param onProgress called when the server has gone on after its first event
	 * @param pauses measures the pauses of the stream
	 * @param onEnd called once with the result code and a detail for the log
	 */
	StreamObserver(Runnable onFirstBytes, Runnable onProgress, PauseMeter pauses,
			BiConsumer<ResultCode, String> onEnd) {
		this.onFirstBytes = onFirstBytes;
		this.onProgress = onProgress;
		this.pauses = pauses;
		this.onEnd = onEnd;
	}

	@Override
	public void onFirstBytes() {
		this.onFirstBytes.run();
	}

	@Override
	public void onDemand() {
		this.pauses.onDemand();
	}

	@Override
	public void onBytes() {
		this.pauses.onBytes();
	}

	@Override
	public void onProgress() {
		this.onProgress.run();
	}

	@Override
	public void onComplete() {
		this.onEnd.accept(ResultCode.OK, "");
	}

	@Override
	public void onFailure(Throwable failure) {
		this.onEnd.accept(ResponseBodies.failureCode(failure), " " + failure.getMessage());
	}

	@Override
	public void onCancelled() {
		this.onEnd.accept(ResultCode.CALLER_GONE, "");
	}

}
