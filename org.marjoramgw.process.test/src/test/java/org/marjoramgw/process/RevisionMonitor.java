package org.marjoramgw.process;

import java.util.List;

import org.marjoramgw.rig.ManagedProcess;

/**
 * Polls the configuration revision in force at every process of a deployment, to detect
 * regressions to an older one.
 *
 * @author The marjoramgw authors
 */
final class RevisionMonitor implements AutoCloseable {

	private static final long POLL_INTERVAL_MILLIS = 60;

	private final DeploymentFixture fixture;

	private final RevisionHistory history = new RevisionHistory();

	private final Thread thread = new Thread(this::run, "revision watch");

	private volatile boolean stopped;

	RevisionMonitor(DeploymentFixture fixture) {
		this.fixture = fixture;
		this.thread.setDaemon(true);
		this.thread.start();
	}

	/**
	 * Lists each observed regression of a running process to an older revision.
	 * @return descriptions of the regressions
	 */
	List<String> regressions() {
		return this.history.regressions();
	}

	@Override
	public void close() throws InterruptedException {
		this.stopped = true;
		this.thread.join();
	}

	private void run() {
		while (!this.stopped) {
			this.fixture.processes().stream().filter(ManagedProcess::isAlive).forEach(this::poll);
			try {
				Thread.sleep(POLL_INTERVAL_MILLIS);
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

	private void poll(ManagedProcess process) {
		try {
			this.history.observe(process.name(), process::pid, () -> this.fixture.revision(process));
		}
		catch (Exception ex) {
			// A frozen or stopped process doesn't answer the query
		}
	}

}
