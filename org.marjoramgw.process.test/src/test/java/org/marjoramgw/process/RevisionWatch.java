package org.marjoramgw.process;

import java.util.List;

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

	private final RevisionRecord record = new RevisionRecord();

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
	List<String> reverts() {
		return this.record.reverts();
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

	private void look(ManagedProcess process) {
		try {
			this.record.look(process.name(), process::pid, () -> this.bed.revision(process));
		}
		catch (Exception ex) {
			// A process that is frozen or gone shows no revision
		}
	}

}
