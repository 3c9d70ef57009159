package org.marjoramgw.entry.caller;

import java.nio.ByteBuffer;

import org.apache.pekko.util.ByteString;
import org.marjoramgw.ResultCode;
import org.marjoramgw.entry.dispatch.ResponseSink;
import org.marjoramgw.http.ByteCollector;
import org.marjoramgw.wire.Message;

/**
 * Response that is buffered and sent once it is complete.
 *
 * @author The marjoramgw authors
 */
abstract class BufferedResponse implements ResponseSink {

	private final PendingResponse response;

	private final ByteCollector body = new ByteCollector();

	private final ResponseMemory memory;

	BufferedResponse(PendingResponse response, ResponseMemory memory) {
		this.response = response;
		this.memory = memory;
	}

	@Override
	public final void onChunk(byte[] payload) {
		if (this.memory.isAvailable()) {
			this.memory.add(this.body.add(ByteBuffer.wrap(payload)));
		}
		else {
			this.body.clear();
			this.memory.clear();
			this.response.sendError(ResultCode.ANSWER_TOO_LARGE, "", 0);
		}
	}

	@Override
	public final boolean tryReset() {
		this.body.clear();
		this.memory.clear();
		return true;
	}

	@Override
	public final void onError(ResultCode code, long retryAfterMillis) {
		this.memory.close();
		this.response.sendError(code, "", retryAfterMillis);
	}

	@Override
	public final void onEnd(Message.End end) {
		send(this.response, end, this.body.toByteString());
		this.memory.close();
	}

	/**
	 * Sends the complete response. It is charged to the connection from then on.
	 * @param to the response to complete
	 * @param end the message that ended it
	 * @param content complete content
	 */
	abstract void send(PendingResponse to, Message.End end, ByteString content);

}
