package org.marjoramgw.policy.quarantine;

import java.util.List;

/**
 * What one process observed of the crash of a backend server. Several processes may
 * report the same crash.
 *
 * @param server incarnation of the server, which crashes at most once
 * @param ageMillis time between the crash and the sending of the report, in milliseconds
 * @param witnesses requests that may have caused the crash
 * @author The marjoramgw authors
 */
public record CrashReport(String server, long ageMillis, List<Witness> witnesses) {

	/**
	 * Creates a report.
	 */
	public CrashReport {
		witnesses = List.copyOf(witnesses);
	}

}
