package org.marjoramgw.side.engine;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.marjoramgw.ResultCode;
import org.marjoramgw.side.backend.BackendListener;
import org.marjoramgw.side.backend.BackendResult;

/**
 * Listener that keeps an answer and waits for its end.
 *
 * @author The marjoramgw authors
 */
public final class ResponseRecorder implements BackendListener {

	private static final long WAIT_MILLIS = 10_000;

	private final StringBuilder text = new StringBuilder();

	private final CompletableFuture<Void> firstPart = new CompletableFuture<>();

	private final CompletableFuture<ResultCode> result = new CompletableFuture<>();

	private volatile BackendResult end;

	@Override
	public synchronized void onPart(int tokens, byte[] payload) {
		this.text.append(new String(payload, StandardCharsets.UTF_8));
		this.firstPart.complete(null);
	}

	@Override
	public void onComplete(BackendResult answerEnd) {
		this.end = answerEnd;
		this.result.complete(answerEnd.code());
	}

	@Override
	public void onFailure(ResultCode code) {
		this.result.complete(code);
	}

	/**
	 * Returns the text so far.
	 * @return the text
	 */
	public synchronized String text() {
		return this.text.toString();
	}

	/**
	 * Waits for the first part.
	 * @throws Exception if none comes
	 */
	public void awaitFirstPart() throws Exception {
		this.firstPart.get(WAIT_MILLIS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Waits for the end.
	 * @return how it ended
	 * @throws Exception if it doesn't end
	 */
	public ResultCode await() throws Exception {
		return this.result.get(WAIT_MILLIS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Returns the end of a whole answer.
	 * @return the end, or {@code null}
	 */
	public BackendResult end() {
		return this.end;
	}

}
