package org.marjoramgw.direct;

import java.util.Optional;

import org.marjoramgw.HostPort;

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

	/**
	 * Tells whether usage is counted and reported.
	 * @return whether it is
	 */
	public boolean isEnabled() {
		return this.required && this.address.isPresent();
	}

}
