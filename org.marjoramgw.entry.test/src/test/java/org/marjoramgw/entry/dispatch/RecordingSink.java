package org.marjoramgw.entry.dispatch;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.marjoramgw.ResultCode;
import org.marjoramgw.wire.Message;

/**
 * Sink that records the response and its result code.
 *
 * @author The marjoramgw authors
 */
final class RecordingSink implements ResponseSink {

	private static final long WAIT_MILLIS = 10_000;

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	private final CompletableFuture<ResultCode> result = new CompletableFuture<>();

	@Override
	public void onChunk(byte[] payload) {
		this.body.writeBytes(payload);
	}

	@Override
	public boolean tryReset() {
		this.body.reset();
		return true;
	}

	@Override
	public void onEnd(Message.End end) {
		this.result.complete(ResultCode.ofNumber(end.code()).orElseThrow());
	}

	@Override
	public void onError(ResultCode code, long retryAfterMillis) {
		this.result.complete(code);
	}

	ResultCode result() throws Exception {
		return this.result.get(WAIT_MILLIS, TimeUnit.MILLISECONDS);
	}

	String text() {
		return this.body.toString(StandardCharsets.UTF_8);
	}

}
