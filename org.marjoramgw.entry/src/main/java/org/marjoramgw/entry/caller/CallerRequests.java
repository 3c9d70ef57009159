package org.marjoramgw.entry.caller;

import java.util.Optional;

import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.marjoramgw.ResultCode;
import org.marjoramgw.claim.ClaimPartitions;
import org.marjoramgw.config.ClientAccount;
import org.marjoramgw.config.Limits;
import org.marjoramgw.config.RequestClass;
import org.marjoramgw.config.Service;
import org.marjoramgw.entry.dispatch.RoutedRequest;
import org.marjoramgw.errors.RequestRejectedException;
import org.marjoramgw.http.ContentTypeHeader;
import org.marjoramgw.wire.BackendCall;

/**
 * Conversion of callers' HTTP requests to routed requests.
 *
 * @author The marjoramgw authors
 */
final class CallerRequests {

	private static final String CHAT_PATH = "/v1/chat/completions";

	private static final String IDEMPOTENCY_KEY_PATTERN = "[\\x21-\\x7e]{1,128}";

	/** Segments of a path before the part for the service, as in /v1/services/orders. */
	private static final int SERVICE_PATH_SEGMENTS = 3;

	private static final String RAW_TARGET = "raw-request-uri";

	private static final String POST = "POST";

	private CallerRequests() {
	}

	static RoutedRequest toChatRequest(RoutingTable table, ClientAccount account, String requestId, HttpRequest http,
			byte[] body, ChatRequest chat) throws RequestRejectedException {
		Service service = table.serviceOfModel(chat.model());
		BackendCall call = new BackendCall(POST, CHAT_PATH, "application/json", body, "", true, "");
		return new RoutedRequest(requestId, service, chat.model(), requestClass(table, http, account), account, call,
				account.name() + "\n" + chat.promptPrefix(), chat.promptTokens());
	}

	static RoutedRequest toPlainRequest(RoutingTable table, ClientAccount account, String requestId, HttpRequest http,
			byte[] body, String serviceName, String remainingPath, int claimPartitionCount)
			throws RequestRejectedException {
		Service service = table.plainService(serviceName);
		String path = "/" + remainingPath;
		String idempotencyKey = header(http, "Idempotency-Key").orElse("");
		if (!idempotencyKey.isEmpty() && !idempotencyKey.matches(IDEMPOTENCY_KEY_PATTERN)) {
			throw new RequestRejectedException(ResultCode.MALFORMED_KEY, "1 to 128 visible ASCII characters");
		}
		BackendCall call = new BackendCall(POST, serviceTarget(http), ContentTypeHeader.valueOf(http), body, "",
				service.isRepeatable(POST, path), idempotencyKey);
		String affinityKey = idempotencyKey.isEmpty() ? ""
				: ClaimPartitions.streamOf(account.name(), idempotencyKey, claimPartitionCount);
		return new RoutedRequest(requestId, service, "", requestClass(table, http, account), account, call, affinityKey,
				0);
	}

	/**
	 * Returns the part of a request target that a plain service gets, without the name of
	 * the service.
	 * @param http the request
	 * @return path and query as the caller sent them, not percent-decoded
	 */
	private static String serviceTarget(HttpRequest http) {
		String target = header(http, RAW_TARGET).orElseGet(() -> http.getUri().toRelative().toString());
		int start = target.startsWith("/") ? 0 : target.indexOf('/', target.indexOf("//") + 2);
		for (int segment = 0; segment < SERVICE_PATH_SEGMENTS; segment++) {
			start = target.indexOf('/', start + 1);
		}
		return target.substring(start);
	}

	static int maxBodyBytes(Limits limits, HttpRequest http) throws RequestRejectedException {
		long length = http.entity().getContentLengthOption().orElse(0);
		if (length > limits.bodyBytes()) {
			throw new RequestRejectedException(ResultCode.BODY_TOO_LARGE, "at most " + limits.bodyBytes() + " bytes");
		}
		return limits.bodyBytes();
	}

	static Optional<String> header(HttpRequest http, String name) {
		return http.getHeader(name).map((header) -> header.value());
	}

	static Optional<String> bearerKey(HttpRequest http) {
		return header(http, "Authorization").filter((value) -> value.startsWith("Bearer "))
			.map((value) -> value.substring("Bearer ".length()).trim());
	}

	private static RequestClass requestClass(RoutingTable table, HttpRequest http, ClientAccount account)
			throws RequestRejectedException {
		return table.classify(header(http, "X-Request-Class"), account.name(), http.getUri().path());
	}

}
