package org.marjoramgw.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.function.LongSupplier;

/**
 * Highest configuration revision observed at each process, and the regressions to an
 * older one.
 *
 * @author The marjoramgw authors
 */
final class RevisionHistory {

	private final Map<String, Long> highest = new HashMap<>();

	private final List<String> regressions = new ArrayList<>();

	/**
	 * Lists each observed regression of a running process to an older revision.
	 * @return descriptions of the regressions
	 */
	synchronized List<String> regressions() {
		return List.copyOf(this.regressions);
	}

	/**
	 * Queries the revision of a process and compares it with the highest one observed.
	 * @param name name of the process
	 * @param pid supplies the id of the process that runs under the name
	 * @param revision queries the process for its revision
	 * @throws Exception if the process doesn't answer
	 */
	void observe(String name, LongSupplier pid, Callable<Long> revision) throws Exception {
		long pidBefore = pid.getAsLong();
		long current = revision.call();
		// A query that waits for a restart is answered by the new process
		if (pid.getAsLong() == pidBefore) {
			recordRevision(name + " " + pidBefore, current);
		}
	}

	private synchronized void recordRevision(String incarnation, long revision) {
		long previous = this.highest.getOrDefault(incarnation, 0L);
		if (revision < previous) {
			this.regressions.add(incarnation + " went from " + previous + " to " + revision);
		}
		this.highest.merge(incarnation, revision, Math::max);
	}

}
