package org.marjoramgw.entry.caller;

import java.util.Locale;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.marjoramgw.ResultCode;

/**
 * JSON body of an error response to a caller.
 *
 * @author The marjoramgw authors
 */
final class ErrorBody {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private ErrorBody() {
	}

	static String of(ResultCode code, String detail, String requestId) {
		ObjectNode error = MAPPER.createObjectNode();
		error.put("code", code.number());
		error.put("message", detail.isEmpty() ? code.text() : code.text() + ": " + detail);
		error.put("outcome", code.outcome().name().toLowerCase(Locale.ROOT));
		error.put("request_id", requestId);
		return MAPPER.createObjectNode().set("error", error).toString();
	}

}
