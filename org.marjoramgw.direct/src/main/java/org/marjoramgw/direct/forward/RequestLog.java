package org.marjoramgw.direct.forward;

import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import org.marjoramgw.MillisClock;
import org.marjoramgw.ResultCode;
import org.marjoramgw.metrics.ResultCounters;
import org.tinylog.Logger;

/**
 * Counts outcomes of requests and writes a log line for each decision about them.
 *
 * @author The marjoramgw authors
 */
public final class RequestLog {

	private final MetricRegistry registry;

	private final ResultCounters counters;

	/**
	 * Bounds the lines about requests that were served in order; failures are always
	 * logged.
	 */
	private final LogRateLimiter servedLimiter;

	/**
	 * Creates a recorder.
	 * @param registry the metrics
	 * @param clock monotonic clock
	 * @param maxServedLinesPerSecond log lines about requests that were served in order
	 */
	public RequestLog(MetricRegistry registry, MillisClock clock, int maxServedLinesPerSecond) {
		this.registry = registry;
		this.servedLimiter = new LogRateLimiter(clock, maxServedLinesPerSecond);
		this.counters = new ResultCounters(registry);
	}

	/**
	 * Records a final answer.
	 * @param code the result
	 * @param requestId id of the request
	 * @param route name of the route, or an empty text
	 * @param status status that the caller got
	 * @param tookMillis time since the request came in, in milliseconds
	 * @param detail what decided it, for people
	 */
	public void recordCompletion(ResultCode code, String requestId, String route, int status, long tookMillis,
			String detail) {
		this.counters.count(code);
		this.registry.timer("requests." + (route.isEmpty() ? "none" : route)).update(tookMillis, TimeUnit.MILLISECONDS);
		if (code == ResultCode.OK && !this.servedLimiter.tryAcquire()) {
			this.registry.counter("log.lines.omitted").inc();
			return;
		}
		Logger.info("request={} code={} route={} status={} took_ms={} {}", requestId, code.number(), route, status,
				tookMillis, detail);
	}

	/**
	 * Records a decision to send a request again.
	 * @param code reason
	 * @param requestId id of the request
	 * @param serverId backend server that did not serve it
	 * @param detail what decided it, for people
	 */
	public void recordRetry(ResultCode code, String requestId, String serverId, String detail) {
		this.counters.count(code);
		Logger.info("request={} code={} server={} {}", requestId, code.number(), serverId, detail);
	}

}
