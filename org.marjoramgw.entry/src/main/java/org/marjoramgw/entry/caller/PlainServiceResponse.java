package org.marjoramgw.entry.caller;

import org.apache.pekko.util.ByteString;
import org.marjoramgw.wire.Message;

/**
 * Response of a plain service, forwarded once it is complete.
 *
 * @author The marjoramgw authors
 */
final class PlainServiceResponse extends BufferedResponse {

	PlainServiceResponse(PendingResponse response, ResponseMemory memory) {
		super(response, memory);
	}

	@Override
	void send(PendingResponse to, Message.End end, ByteString content) {
		to.send(end.httpStatus(), end.contentType(), content);
	}

}
