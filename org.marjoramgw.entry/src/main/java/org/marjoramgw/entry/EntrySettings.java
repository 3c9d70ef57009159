package org.marjoramgw.entry;

import org.marjoramgw.HostPort;
import org.marjoramgw.errors.InvalidTomlException;
import org.marjoramgw.http.CallerSettings;
import org.marjoramgw.settings.TomlTable;

/**
 * Settings of an entry process.
 *
 * @param processId id of the process
 * @param failureDomain failure domain of the process
 * @param httpAddress address of the HTTP endpoint for callers and operators
 * @param peerToken token that authenticates entry and side processes to each other
 * @param operatorToken token that authenticates operators
 * @param logUrl URL of the log service
 * @param vmListUrl URL of the VM list
 * @param heartbeatMillis interval of heartbeats on connections that carry requests, in
 * milliseconds
 * @param idleHeartbeatMillis interval of heartbeats on idle connections, in milliseconds
 * @param peerTimeoutMillis time without a message after which a connection is dropped, in
 * milliseconds
 * @param pollMillis interval of polls of the VM list and the log, in milliseconds
 * @param resumeWaitMillis how long an interrupted response waits for a new connection to
 * its side process, in milliseconds
 * @param widenMillis time without a grant after which a slot is reserved at one more side
 * process, in milliseconds
 * @param drainMillis longest time that a graceful stop waits for open requests, in
 * milliseconds
 * @param openRequestsPerClass maximum number of open requests of one class
 * @param claimPartitionCount number of partitions of the claims; must be the same in
 * every process
 * @param callerLimits limits on the callers
 * @author The marjoramgw authors
 */
public record EntrySettings(String processId, String failureDomain, HostPort httpAddress, String peerToken,
		String operatorToken, String logUrl, String vmListUrl, long heartbeatMillis, long idleHeartbeatMillis,
		long peerTimeoutMillis, long pollMillis, long resumeWaitMillis, long widenMillis, long drainMillis,
		int openRequestsPerClass, int claimPartitionCount, CallerSettings callerLimits) {

	private static final long MAX_INTERVAL_MILLIS = 60_000;

	private static final long MAX_DRAIN_MILLIS = 3_600_000;

	/**
	 * Reads and validates the settings.
	 * @param table root table of the settings file
	 * @return the settings
	 * @throws InvalidTomlException if keys are missing or unknown, or values invalid
	 */
	public static EntrySettings read(TomlTable table) throws InvalidTomlException {
		EntrySettings settings = new EntrySettings(table.text("process_id"), table.text("failure_domain"),
				table.address("http_address"), table.text("peer_token"), table.text("operator_token"),
				table.text("log_url"), table.text("vm_list_url"), interval(table, "heartbeat_ms", 250),
				interval(table, "idle_heartbeat_ms", 1_000), interval(table, "peer_timeout_ms", 1_000),
				interval(table, "poll_ms", 500), interval(table, "resume_wait_ms", 3_000),
				interval(table, "widen_ms", 100), table.number("drain_ms", 120_000, 1, MAX_DRAIN_MILLIS),
				(int) table.number("open_requests_per_class_count", 2_000, 1, 100_000),
				(int) table.number("claim_partition_count", 16, 1, 1_024), CallerSettings.read(table));
		table.throwIfInvalid();
		return settings;
	}

	private static long interval(TomlTable table, String key, long defaultMillis) {
		return table.number(key, defaultMillis, 1, MAX_INTERVAL_MILLIS);
	}

}
