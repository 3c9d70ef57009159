package org.marjoramgw.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.marjoramgw.rig.ManagedProcess;

/**
 * Watcher of the configuration revision in force at every process of a deployment, which
 * must never go back.
 *
 * @author The marjoramgw authors
 */
final class RevisionWatch implements AutoCloseable {

	private static final long PERIOD_MILLIS = 60;

	private final ProofBed bed;

	private final Map<String, Long> highest = new HashMap<>();

	private final List<String> reverts = new ArrayList<>();

	private final Thread thread = new Thread(this::watch, "revision watch");

	private volatile boolean stopped;

	RevisionWatch(ProofBed bed) {
		this.bed = bed;
		this.thread.setDaemon(true);
		this.thread.start();
	}

	/**
	 * Lists the times that a running process went back to an older revision.
	 * @return the reverts
	 */
	synchronized List<String> reverts() {
		return List.copyOf(this.reverts);
	}

	@Override
	public void close() throws InterruptedException {
		this.stopped = true;
		this.thread.join();
	}

	private void watch() {
		while (!this.stopped) {
			this.bed.processes().stream().filter(ManagedProcess::isAlive).forEach(this::look);
			try {
				Thread.sleep(PERIOD_MILLIS);
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

	private synchronized void look(ManagedProcess process) {
		try {
			long pid = process.pid();
			long revision = this.bed.revision(process);
			String name = process.name() + " " + pid;
			long before = this.highest.getOrDefault(name, 0L);
			if (revision < before) {
				this.reverts.add(name + " went from " + before + " to " + revision);
			}
			this.highest.merge(name, revision, Math::max);
		}
		catch (Exception ex) {
			// A process that is frozen or gone shows no revision
		}
	}

}
