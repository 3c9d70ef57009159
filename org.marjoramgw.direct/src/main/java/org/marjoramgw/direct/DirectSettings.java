package org.marjoramgw.direct;

import java.util.Optional;

import org.marjoramgw.HostPort;
import org.marjoramgw.settings.TomlTable;

/**
 * Validated settings of an entry process that forwards requests to backend servers
 * directly.
 *
 * @param processId id of this process
 * @param failureDomain failure domain of its VM
 * @param callerAddress address on which callers connect
 * @param healthAddress address of the readiness endpoint for the load balancer
 * @param healthPath path of the readiness endpoint
 * @param metricsAddress address of the metrics endpoint
 * @param metricsPath path of the metrics endpoint
 * @param storeAddress address of the platform's store
 * @param stopGraceMillis time between the stop signal and the forced kill, in
 * milliseconds
 * @param revocationMillis time within which a revoked key stops working, in milliseconds
 * @param configurationApplyMillis time within which a change of the configuration takes
 * effect, in milliseconds
 * @param retryRatio retries allowed per request to a service
 * @param retryWindowMillis window over which retries are counted, in milliseconds
 * @param freeRetryCount retries allowed in a window independently of the number of
 * requests, shared by all processes
 * @param callers bounds of what is held for callers
 * @param peers settings of the exchange with other entry processes
 * @param usage settings of the usage reports
 * @param stopAfterWarmUp whether the process exits after the warm-up, for a training run
 * @author The marjoramgw authors
 */
public record DirectSettings(String processId, String failureDomain, HostPort callerAddress, HostPort healthAddress,
		String healthPath, HostPort metricsAddress, String metricsPath, HostPort storeAddress, long stopGraceMillis,
		long revocationMillis, long configurationApplyMillis, double retryRatio, long retryWindowMillis,
		int freeRetryCount, CallerSettings callers, PeerSettings peers, UsageSettings usage, boolean stopAfterWarmUp) {

	private static final int MAX_SECONDS = 3_600;

	private static final double MILLIS_PER_SECOND = 1_000;

	private static final long MAX_MILLIS = 3_600_000;

	private static final long MAX_MEMORY_BYTES = 1L << 40;

	private static final int MAX_CONNECTIONS = 1_000_000;

	private static final int MAX_RETRIES = 1_000_000;

	/** Stands for an address that is not set. */
	private static final HostPort NO_ADDRESS = new HostPort("127.0.0.1", 0);

	/** Feature of a deployment in which entry processes share the load of its servers. */
	private static final String POOL_FEATURE = "pool";

	/** Duty of sending usage reports. */
	private static final String USAGE_DUTY = "metering";

	/**
	 * Reads the settings from a table.
	 * <p>
	 * The platform supplies the times and the limits of retries, and a figure that this
	 * release doesn't expect must not keep it from serving. These numbers are moved into
	 * their range and may be fractions, which are rounded so that revoked keys stop
	 * working earlier and retries are fewer.
	 * @param root root table of the settings
	 * @return the settings; errors are recorded in the table
	 */
	public static DirectSettings of(TomlTable root) {
		return new DirectSettings(root.text("process_id"), root.text("failure_domain"), root.address("callers_address"),
				root.address("health_address"), root.text("health_path"), root.address("metrics_address"),
				root.text("metrics_path", "/metrics"), root.address("store_address"),
				(long) (root.clampedDecimal("stop_grace_s", 8, 0, MAX_SECONDS) * MILLIS_PER_SECOND),
				(long) root.clampedDecimal("revocation_ms", 5_000, 100, MAX_MILLIS),
				(long) root.clampedDecimal("configuration_apply_ms", 2_000, 100, MAX_MILLIS),
				root.clampedDecimal("retry_ratio", 0.1, 0, 10),
				(long) Math.ceil(root.clampedDecimal("retry_window_s", 10, 1, MAX_SECONDS) * MILLIS_PER_SECOND),
				(int) root.clampedDecimal("free_retry_count", 0, 0, MAX_RETRIES),
				new CallerSettings((long) root.clampedDecimal("caller_memory_bytes", 0, 0, MAX_MEMORY_BYTES),
						(int) root.clampedDecimal("caller_connection_count", 0, 0, MAX_CONNECTIONS),
						(int) root.clampedDecimal("descriptor_count", 0, 0, MAX_CONNECTIONS)),
				peers(root), usage(root), root.flag("stop_after_warm_up", false));
	}

	private static PeerSettings peers(TomlTable root) {
		return new PeerSettings(optional(root.address("peer_address", NO_ADDRESS)),
				root.texts("features").contains(POOL_FEATURE));
	}

	private static UsageSettings usage(TomlTable root) {
		return new UsageSettings(optional(root.address("usage_address", NO_ADDRESS)),
				root.texts("duties").contains(USAGE_DUTY),
				(long) (root.clampedDecimal("usage_window_s", 5, 1, MAX_SECONDS) * MILLIS_PER_SECOND),
				(long) (root.clampedDecimal("usage_late_s", 10, 1, MAX_SECONDS) * MILLIS_PER_SECOND),
				(long) root.clampedDecimal("lease_ms", 3_000, 100, MAX_MILLIS), root.flag("fence_required", false));
	}

	private static Optional<HostPort> optional(HostPort address) {
		return Optional.of(address).filter((set) -> set.port() > 0);
	}

}
