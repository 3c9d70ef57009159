package org.marjoramgw.direct.forward;

import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import org.marjoramgw.MillisClock;
import org.marjoramgw.ResultCode;
import org.marjoramgw.metrics.ResultCounters;
import org.tinylog.Logger;

/**
 * Counts request outcomes and logs a line for each completion and retry.
 *
 * @author The marjoramgw authors
 */
public final class RequestLog {

	private final MetricRegistry registry;

	private final ResultCounters counters;

	private final AttainmentLog attainmentLog;

	/**
	 * Rate limit for lines about successful requests; failures are always logged.
	 */
	private final LogRateLimiter servedLimiter;

	/**
	 * Creates a request log.
	 * @param registry registry of the metrics
	 * @param clock monotonic clock
	 * @param maxServedLinesPerSecond rate limit for log lines about successful requests
	 */
	public RequestLog(MetricRegistry registry, MillisClock clock, int maxServedLinesPerSecond) {
		this.registry = registry;
		this.servedLimiter = new LogRateLimiter(clock, maxServedLinesPerSecond);
		this.counters = new ResultCounters(registry);
		this.attainmentLog = new AttainmentLog(registry);
	}

	/**
	 * Records how a request met or missed the targets of its route.
	 * @param route name of the route
	 * @param attainment the attainment
	 */
	void recordAttainment(String route, Attainment attainment) {
		this.attainmentLog.record(route, attainment);
	}

	/**
	 * Logs the attainment of the routes since the last call.
	 */
	public void endAttainmentInterval() {
		this.attainmentLog.endInterval();
	}

	/**
	 * Records the completion of a request.
	 * @param code result code
	 * @param requestId id of the request
	 * @param route name of the route, or an empty string if none matched
	 * @param status status sent to the caller, or 0 if there is none to report
	 * @param tookMillis time since the request was received, in milliseconds
	 * @param detail further fields for the log line
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
	 * Counts a backend server that has said in an answer that it leaves.
	 */
	void countLeavingServer() {
		this.registry.counter("servers.leaving").inc();
	}

	/**
	 * Counts a backend server that has asked for no requests for a time.
	 */
	void countPausedServer() {
		this.registry.counter("servers.paused").inc();
	}

	/**
	 * Counts a request whose server may not receive requests any more, though it was
	 * chosen.
	 */
	void countMovedRequest() {
		this.registry.counter("requests.moved").inc();
	}

	/**
	 * Counts a request that was sent after less urgent ones, which came later or waited
	 * beside it.
	 */
	void countOvertakenRequest() {
		this.registry.counter("requests.overtaken").inc();
	}

	/**
	 * Records a retry.
	 * @param code result code of the retry
	 * @param requestId id of the request
	 * @param serverId id of the backend server whose attempt failed
	 * @param detail reason of the retry for the log line
	 */
	public void recordRetry(ResultCode code, String requestId, String serverId, String detail) {
		this.counters.count(code);
		Logger.info("request={} code={} server={} {}", requestId, code.number(), serverId, detail);
	}

}
