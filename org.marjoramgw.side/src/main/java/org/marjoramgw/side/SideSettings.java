package org.marjoramgw.side;

import java.util.Set;

import org.marjoramgw.HostPort;
import org.marjoramgw.errors.InvalidTomlException;
import org.marjoramgw.http.CallerSettings;
import org.marjoramgw.settings.TomlTable;

/**
 * Settings of a side process.
 *
 * @param processId id of the process, which is also the id of its VM
 * @param failureDomain failure domain of the VM
 * @param httpAddress address that serves the operator HTTP endpoints
 * @param peerAddress address that entries connect to
 * @param peerToken token that authenticates the processes of a deployment to each other
 * @param operatorToken token that authenticates operators
 * @param logUrl base URL of the log service
 * @param vmListUrl base URL of the VM list
 * @param pool name of the pool that the backend server belongs to
 * @param backendUrl base URL of the backend server
 * @param model whether the backend server is a model engine
 * @param weightStoreUrl base URL of the weight store, or an empty string to disable model
 * loading
 * @param heartbeatMillis interval between heartbeats, in milliseconds
 * @param peerTimeoutMillis time without a message after which the connection of a busy
 * peer is closed, in milliseconds
 * @param idleTimeoutMillis time without a message after which the connection of an idle
 * peer is closed, in milliseconds
 * @param pollMillis interval between polls of the platform services, in milliseconds
 * @param answerKeepMillis time that responses are retained for a disconnected entry, in
 * milliseconds
 * @param claimPartitionCount number of log partitions for idempotency claims
 * @param callerLimits limits on the callers of the operators' endpoint
 * @author The marjoramgw authors
 */
public record SideSettings(String processId, String failureDomain, HostPort httpAddress, HostPort peerAddress,
		String peerToken, String operatorToken, String logUrl, String vmListUrl, String pool, String backendUrl,
		boolean model, String weightStoreUrl, long heartbeatMillis, long peerTimeoutMillis, long idleTimeoutMillis,
		long pollMillis, long answerKeepMillis, int claimPartitionCount, CallerSettings callerLimits) {

	private static final String MODEL = "model";

	private static final long DEFAULT_HEARTBEAT_MILLIS = 250;

	private static final long DEFAULT_IDLE_TIMEOUT_MILLIS = 30_000;

	private static final long DEFAULT_PEER_TIMEOUT_MILLIS = 1_000;

	private static final long DEFAULT_POLL_MILLIS = 500;

	private static final long DEFAULT_ANSWER_KEEP_MILLIS = 10_000;

	private static final long DEFAULT_CLAIM_PARTITION_COUNT = 16;

	private static final long MIN_MILLIS = 10;

	private static final long MAX_MILLIS = 600_000;

	private static final long MAX_PARTITION_COUNT = 4_096;

	/**
	 * Reads and validates the settings.
	 * @param table root table of the settings
	 * @return the settings
	 * @throws InvalidTomlException if a setting is missing or invalid
	 */
	public static SideSettings read(TomlTable table) throws InvalidTomlException {
		SideSettings settings = new SideSettings(table.text("process_id"), table.text("failure_domain"),
				table.address("http_address"), table.address("peer_address"), table.text("peer_token"),
				table.text("operator_token"), table.text("log_url"), table.text("vm_list_url"), table.text("pool"),
				table.text("backend_url"), MODEL.equals(table.choice("kind", MODEL, Set.of(MODEL, "plain"))),
				table.text("weight_store_url", ""), millis(table, "heartbeat_ms", DEFAULT_HEARTBEAT_MILLIS),
				millis(table, "peer_timeout_ms", DEFAULT_PEER_TIMEOUT_MILLIS),
				millis(table, "idle_timeout_ms", DEFAULT_IDLE_TIMEOUT_MILLIS),
				millis(table, "poll_ms", DEFAULT_POLL_MILLIS),
				millis(table, "answer_keep_ms", DEFAULT_ANSWER_KEEP_MILLIS),
				(int) table.number("claim_partition_count", DEFAULT_CLAIM_PARTITION_COUNT, 1, MAX_PARTITION_COUNT),
				CallerSettings.read(table));
		table.throwIfInvalid();
		return settings;
	}

	private static long millis(TomlTable table, String key, long defaultMillis) {
		return table.number(key, defaultMillis, MIN_MILLIS, MAX_MILLIS);
	}

}
