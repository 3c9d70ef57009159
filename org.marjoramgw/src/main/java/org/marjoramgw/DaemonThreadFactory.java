package org.marjoramgw;

import java.util.concurrent.ThreadFactory;

/**
 * Creates daemon threads, which don't keep the process alive.
 *
 * @author The marjoramgw authors
 */
public final class DaemonThreadFactory implements ThreadFactory {

	private final String name;

	/**
	 * Creates a factory.
	 * @param name name of each thread
	 */
	public DaemonThreadFactory(String name) {
		this.name = name;
	}

	@Override
	public Thread newThread(Runnable task) {
		Thread thread = new Thread(task, this.name);
		thread.setDaemon(true);
		return thread;
	}

}
