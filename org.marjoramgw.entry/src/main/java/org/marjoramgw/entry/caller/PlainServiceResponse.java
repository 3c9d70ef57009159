package org.marjoramgw.entry.caller;

import org.apache.pekko.http.javadsl.model.ContentType;
import org.apache.pekko.http.javadsl.model.ContentTypes;
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
		to.send(end.httpStatus(), contentType(end.contentType()), content);
	}

	private static ContentType contentType(String value) {
		return org.apache.pekko.http.scaladsl.model.ContentType.parse(value)
			.<ContentType>fold((errors) -> ContentTypes.APPLICATION_OCTET_STREAM, (parsed) -> parsed);
	}

}
