package org.marjoramgw.direct;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicBoolean;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.Query;
import org.apache.pekko.http.javadsl.model.StatusCode;
import org.apache.pekko.http.javadsl.model.StatusCodes;
import org.marjoramgw.direct.caller.CallerRequest;
import org.marjoramgw.direct.caller.RequestTarget;
import org.marjoramgw.direct.model.PromptPart;
import org.marjoramgw.operator.OperatorJson;
import org.marjoramgw.operator.WhereReport;

/**
 * Endpoint that explains where a request would go now. The query describes the request;
 * it may hold a key and is therefore never logged.
 *
 * @author The marjoramgw authors
 */
final class ExplainEndpoint {

	/** Path of the endpoint. */
	static final String PATH = "/explain";

	private final Explainer explainer;

	private final ObjectMapper mapper = OperatorJson.newMapper();

	private final AtomicBoolean busy = new AtomicBoolean();

	ExplainEndpoint(Explainer explainer) {
		this.explainer = explainer;
	}

	/**
	 * Responds to a request. Only one explanation at a time is computed, so that
	 * operators can't take the processor time of callers.
	 * @param request the request
	 * @return the report, or a reason in plain text why there is none
	 */
	HttpResponse respond(HttpRequest request) {
		if (!request.method().equals(HttpMethods.GET)) {
			return text(StatusCodes.METHOD_NOT_ALLOWED, "use GET");
		}
		if (!this.busy.compareAndSet(false, true)) {
			return text(StatusCodes.SERVICE_UNAVAILABLE, "another explanation is being computed; try again");
		}
		try {
			return explain(request.getUri().query());
		}
		catch (IllegalArgumentException ex) {
			return text(StatusCodes.BAD_REQUEST, ex.getMessage());
		}
		finally {
			this.busy.set(false);
		}
	}

	private HttpResponse explain(Query query) {
		WhereReport report = this.explainer.explain(request(query), query.get("account"), query.get("service"));
		try {
			return HttpResponse.create()
				.withEntity(ContentTypes.APPLICATION_JSON, this.mapper.writeValueAsString(report));
		}
		catch (JsonProcessingException ex) {
			return text(StatusCodes.INTERNAL_SERVER_ERROR, "the report can't be written");
		}
	}

	private static CallerRequest request(Query query) {
		OptionalLong deadlineMillis = query.get("deadline_ms")
			.map((text) -> OptionalLong.of(number("deadline_ms", text)))
			.orElse(OptionalLong.empty());
		return new CallerRequest("explained", RequestTarget.hostOf(required(query, "host")),
				RequestTarget.pathOf(required(query, "path")), deadlineMillis, query.get("key"),
				query.get("model").orElse(""), parts(query),
				query.get("prompt_tokens").map((text) -> number("prompt_tokens", text)).orElse(0L), 0,
				Optional.empty());
	}

	private static List<PromptPart> parts(Query query) {
		List<PromptPart> parts = new ArrayList<>();
		query.toList().forEach((parameter) -> {
			if (parameter.first().equals("part")) {
				String part = parameter.second();
				int colon = part.lastIndexOf(':');
				if (colon <= 0) {
					throw new IllegalArgumentException("part needs the form ID:TOKENS");
				}
				parts.add(new PromptPart(part.substring(0, colon), number("part", part.substring(colon + 1))));
			}
		});
		return parts;
	}

	private static String required(Query query, String name) {
		return query.get(name).orElseThrow(() -> new IllegalArgumentException(name + " is missing"));
	}

	private static long number(String name, String text) {
		try {
			long number = Long.parseLong(text);
			if (number >= 0) {
				return number;
			}
		}
		catch (NumberFormatException ex) {
			// The same as a negative number.
		}
		throw new IllegalArgumentException(name + " needs a whole number of at least 0");
	}

	private static HttpResponse text(StatusCode status, String text) {
		return HttpResponse.create().withStatus(status).withEntity(ContentTypes.TEXT_PLAIN_UTF8, text + "\n");
	}

	/**
	 * Explains requests.
	 */
	@FunctionalInterface
	interface Explainer {

		/**
		 * Explains a request.
		 * @param request the request
		 * @param account name of the client account whose key it is to have, or empty
		 * @param service name of the service to select, or empty
		 * @return the report
		 * @throws IllegalArgumentException if the description is invalid
		 */
		WhereReport explain(CallerRequest request, Optional<String> account, Optional<String> service);

	}

}
