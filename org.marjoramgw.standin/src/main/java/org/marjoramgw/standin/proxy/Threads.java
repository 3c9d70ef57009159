package org.marjoramgw.standin.proxy;

/**
 * Starts daemon threads with small stacks.
 *
 * @author The marjoramgw authors
 */
final class Threads {

	private static final long STACK_BYTES = 256 * 1_024;

	private Threads() {
	}

	static Thread start(String name, Runnable task) {
		Thread thread = new Thread(null, task, name, STACK_BYTES);
		thread.setDaemon(true);
		thread.start();
		return thread;
	}

}
