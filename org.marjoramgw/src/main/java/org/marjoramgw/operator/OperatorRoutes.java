package org.marjoramgw.operator;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.hash.Hashing;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.StatusCodes;
import org.apache.pekko.http.javadsl.model.headers.HttpCredentials;
import org.apache.pekko.http.javadsl.server.AllDirectives;
import org.apache.pekko.http.javadsl.server.PathMatchers;
import org.apache.pekko.http.javadsl.server.Route;
import org.marjoramgw.ResultCode;
import org.marjoramgw.metrics.PrometheusTextWriter;
import org.marjoramgw.metrics.ResultCounters;
import org.marjoramgw.trace.DecisionLog;

/**
 * HTTP routes of the operators' endpoint. {@code /healthz} and {@code /metrics} need no
 * authentication; {@code /operator/status}, {@code /operator/explain/ID} and
 * {@code /operator/drain} need the operators' bearer token.
 *
 * @author The marjoramgw authors
 */
public final class OperatorRoutes extends AllDirectives {

	private static final String BAD_TOKEN_BODY = "E" + ResultCode.BAD_TOKEN.number() + " " + ResultCode.BAD_TOKEN.text()
			+ "\n";

	private final ManageableProcess process;

	private final DecisionLog decisions;

	private final PrometheusTextWriter metrics;

	private final ResultCounters counters;

	private final byte[] tokenDigest;

	private final ObjectMapper mapper = OperatorJson.newMapper();

	/**
	 * Creates the routes.
	 * @param process the process that is reported and drained
	 * @param decisions decisions of the process about recent requests
	 * @param registry metrics of the process
	 * @param token bearer token of the operators
	 */
	public OperatorRoutes(ManageableProcess process, DecisionLog decisions, MetricRegistry registry, String token) {
		this.process = process;
		this.decisions = decisions;
		this.metrics = new PrometheusTextWriter(registry);
		this.counters = new ResultCounters(registry);
		this.tokenDigest = digest(token);
	}

	/**
	 * Returns the combined route.
	 * @return a route that rejects every other path
	 */
	public Route route() {
		return concat(path("healthz", () -> get(() -> complete(health()))), path("metrics",
				() -> get(() -> complete(HttpEntities.create(ContentTypes.TEXT_PLAIN_UTF8, this.metrics.write())))),
				pathPrefix("operator", () -> requireToken(operatorRoute())));
	}

	private Route operatorRoute() {
		return concat(path("status", () -> get(() -> complete(jsonResponse(report())))),
				path(PathMatchers.segment("explain").slash(PathMatchers.segment()),
						(requestId) -> get(() -> complete(jsonResponse(this.decisions.findByRequest(requestId))))),
				path("drain", () -> post(() -> {
					this.process.drain();
					return complete(StatusCodes.ACCEPTED);
				})));
	}

	private Route requireToken(Route inner) {
		return extractCredentials((credentials) -> {
			if (credentials.filter(this::hasValidToken).isPresent()) {
				return inner;
			}
			this.counters.count(ResultCode.BAD_TOKEN);
			return complete(StatusCodes.UNAUTHORIZED, BAD_TOKEN_BODY);
		});
	}

	private boolean hasValidToken(HttpCredentials credentials) {
		return MessageDigest.isEqual(this.tokenDigest, digest(credentials.token()));
	}

	private HttpResponse health() {
		if (this.process.status().leaving()) {
			return unavailable("leaving\n");
		}
		return this.process.isReady() ? HttpResponse.create().withEntity("ok\n") : unavailable("not ready\n");
	}

	private static HttpResponse unavailable(String reason) {
		return HttpResponse.create().withStatus(StatusCodes.SERVICE_UNAVAILABLE).withEntity(reason);
	}

	private ProcessReport report() {
		return new ProcessReport(this.process.identity(), this.process.status());
	}

	private HttpResponse jsonResponse(Object value) {
		try {
			return HttpResponse.create()
				.withEntity(ContentTypes.APPLICATION_JSON, this.mapper.writeValueAsString(value));
		}
		catch (JsonProcessingException ex) {
			return HttpResponse.create().withStatus(StatusCodes.INTERNAL_SERVER_ERROR);
		}
	}

	private static byte[] digest(String token) {
		return Hashing.sha256().hashString(token, StandardCharsets.UTF_8).asBytes();
	}

}
