package org.marjoramgw.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.function.LongSupplier;

/**
 * Record of the highest revision that each process has shown, and of those that went
 * back.
 *
 * @author The marjoramgw authors
 */
final class RevisionHistory {

	private final Map<String, Long> highest = new HashMap<>();

	private final List<String> regressions = new ArrayList<>();

	/**
	 * Lists the times that a running process went back to an older revision.
	 * @return the reverts
	 */
	synchronized List<String> regressions() {
		return List.copyOf(this.regressions);
	}

	/**
	 * Asks a process for its revision and compares it with those it showed before.
	 * @param name name of the process
	 * @param pid gives the id of the process that runs under the name
	 * @param revision asks the process for its revision
	 * @throws Exception if the process doesn't answer
	 */
	void observe(String name, LongSupplier pid, Callable<Long> revision) throws Exception {
		long pidBefore = pid.getAsLong();
		long current = revision.call();
		// A question that waits for the end of a restart is answered by the successor
		if (pid.getAsLong() == pidBefore) {
			record(name + " " + pidBefore, current);
		}
	}

	private synchronized void record(String incarnation, long revision) {
		long previous = this.highest.getOrDefault(incarnation, 0L);
		if (revision < previous) {
			this.regressions.add(incarnation + " went from " + previous + " to " + revision);
		}
		this.highest.merge(incarnation, revision, Math::max);
	}

}
