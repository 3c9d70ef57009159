package org.marjoramgw.entry.caller;

import org.apache.pekko.http.javadsl.model.ContentType;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.marjoramgw.wire.Message;

/**
 * Answer of a plain service, passed on when it is whole.
 *
 * @author The marjoramgw authors
 */
final class PlainServiceResponse extends BufferedResponse {

	PlainServiceResponse(PendingResponse head) {
		super(head);
	}

	@Override
	public void onEnd(Message.End end) {
		head().send(end.httpStatus(), contentType(end.contentType()), body());
	}

	private static ContentType contentType(String text) {
		return org.apache.pekko.http.scaladsl.model.ContentType.parse(text)
			.<ContentType>fold((errors) -> ContentTypes.APPLICATION_OCTET_STREAM, (known) -> known);
	}

}
