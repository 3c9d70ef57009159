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
final class RevisionRecord {

	private final Map<String, Long> highest = new HashMap<>();

	private final List<String> reverts = new ArrayList<>();

	/**
	 * Lists the times that a running process went back to an older revision.
	 * @return the reverts
	 */
	synchronized List<String> reverts() {
		return List.copyOf(this.reverts);
	}

	/**
	 * Asks a process for its revision and compares it with those it showed before.
	 * @param name name of the process
	 * @param pid gives the id of the process that runs under the name
	 * @param revision asks the process for its revision
	 * @throws Exception if the process doesn't answer
	 */
	void look(String name, LongSupplier pid, Callable<Long> revision) throws Exception {
		long asked = pid.getAsLong();
		long seen = revision.call();
		// A question that waits for the end of a restart is answered by the successor
		if (pid.getAsLong() == asked) {
			note(name + " " + asked, seen);
		}
	}

	private synchronized void note(String incarnation, long revision) {
		long before = this.highest.getOrDefault(incarnation, 0L);
		if (revision < before) {
			this.reverts.add(incarnation + " went from " + before + " to " + revision);
		}
		this.highest.merge(incarnation, revision, Math::max);
	}

}
