package org.marjoramgw.side.engine;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.marjoramgw.ResultCode;
import org.marjoramgw.side.backend.BackendListener;
import org.marjoramgw.side.backend.BackendResult;

/**
 * Listener that records a response and lets a test wait for its end.
 *
 * @author The marjoramgw authors
 */
public final class ResponseRecorder implements BackendListener {

	private static final long TIMEOUT_MILLIS = 10_000;

	private final StringBuilder text = new StringBuilder();

	private final CompletableFuture<Void> firstPart = new CompletableFuture<>();

	private final CompletableFuture<ResultCode> resultCode = new CompletableFuture<>();

	private volatile BackendResult backendResult;

	@Override
	public synchronized void onPart(int tokens, byte[] payload) {
		this.text.append(new String(payload, StandardCharsets.UTF_8));
		this.firstPart.complete(null);
	}

	@Override
	public void onComplete(BackendResult result) {
		this.backendResult = result;
		this.resultCode.complete(result.code());
	}

	@Override
	public void onFailure(ResultCode code) {
		this.resultCode.complete(code);
	}

	/**
	 * Returns the text received so far.
	 * @return the text
	 */
	public synchronized String text() {
		return this.text.toString();
	}

	/**
	 * Waits for the first part.
	 * @throws Exception if none arrives in time
	 */
	public void awaitFirstPart() throws Exception {
		this.firstPart.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Waits for the end of the response.
	 * @return the result code
	 * @throws Exception if the response does not end in time
	 */
	public ResultCode await() throws Exception {
		return this.resultCode.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Returns the result of a complete response.
	 * @return the result, or {@code null} if the response is not complete
	 */
	public BackendResult backendResult() {
		return this.backendResult;
	}

}
