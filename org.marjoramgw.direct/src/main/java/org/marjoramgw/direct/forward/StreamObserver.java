package org.marjoramgw.direct.forward;

import java.util.function.BiConsumer;

import org.marjoramgw.ResultCode;

/**
 * Turns the ways in which a stream may end into result codes.
 *
 * @author The marjoramgw authors
 */
final class StreamObserver implements BodyObserver {

	private final Runnable onFirst;

	private final BiConsumer<ResultCode, String> onEnd;

	/**
	 * Creates an observer.
	 * @param onFirst called when the first bytes come
	 * @param onEnd called once with the result and a detail for people
	 */
	StreamObserver(Runnable onFirst, BiConsumer<ResultCode, String> onEnd) {
		this.onFirst = onFirst;
		this.onEnd = onEnd;
	}

	@Override
	public void onFirstBytes() {
		this.onFirst.run();
	}

	@Override
	public void onComplete() {
		this.onEnd.accept(ResultCode.OK, "");
	}

	@Override
	public void onFailure(Throwable failure) {
		this.onEnd.accept(ResultCode.BACKEND_BROKE_OFF, " " + failure.getMessage());
	}

	@Override
	public void onCancelled() {
		this.onEnd.accept(ResultCode.CALLER_GONE, "");
	}

}
