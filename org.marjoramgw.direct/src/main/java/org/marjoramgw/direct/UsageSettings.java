package org.marjoramgw.direct;

import java.util.Optional;

import org.marjoramgw.HostPort;
import org.marjoramgw.settings.TomlTable;

/**
 * Validated settings of the usage reports.
 *
 * @param address where reports are sent, or empty if none are
 * @param required whether reports are a duty of this deployment
 * @param windowMillis length of a window, in milliseconds
 * @param dueMillis time after the end of a window at which its report is due, in
 * milliseconds
 * @param leaseMillis time within which the holder of the duty must not change back, in
 * milliseconds
 * @param fenced whether the receiver checks fencing tokens
 * @author The marjoramgw authors
 */
public record UsageSettings(Optional<HostPort> address, boolean required, long windowMillis, long dueMillis,
		long leaseMillis, boolean fenced) {

	/** Duty of sending usage reports. */
	private static final String USAGE_DUTY = "metering";

	private static final double MAX_SECONDS = 3_600;

	private static final double MILLIS_PER_SECOND = 1_000;

	static UsageSettings of(TomlTable root) {
		return new UsageSettings(Optional.ofNullable(root.address("usage_address", null)),
				root.texts("duties").contains(USAGE_DUTY),
				(long) (root.clampedDecimal("usage_window_s", 5, 1, MAX_SECONDS) * MILLIS_PER_SECOND),
				(long) (root.clampedDecimal("usage_late_s", 10, 1, MAX_SECONDS) * MILLIS_PER_SECOND),
				(long) root.clampedDecimal("lease_ms", 3_000, 100, MAX_SECONDS * MILLIS_PER_SECOND),
				root.flag("fence_required", false));
	}

	/**
	 * Tells whether usage is counted and reported.
	 * @return whether it is
	 */
	public boolean isEnabled() {
		return this.required && this.address.isPresent();
	}

}
