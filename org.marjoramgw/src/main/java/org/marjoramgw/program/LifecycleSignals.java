package org.marjoramgw.program;

import org.marjoramgw.MillisClock;
import sun.misc.Signal;

/**
 * Handlers of the signals that stop a process or make it reload. A program installs them
 * before anything else: until then a signal ends the JVM at once.
 *
 * @author The marjoramgw authors
 */
public final class LifecycleSignals {

	/** Exit code of a JVM that a signal ends, less the number of the signal. */
	private static final int SIGNAL_EXIT_CODE = 128;

	private LifecycleSignals() {
	}

	/**
	 * Handles SIGTERM and SIGINT.
	 * @param clock monotonic clock
	 * @return the lifecycle of this process
	 */
	public static Lifecycle install(MillisClock clock) {
		Lifecycle lifecycle = new Lifecycle(clock, System::exit);
		for (String name : new String[] { "TERM", "INT" }) {
			Signal.handle(new Signal(name),
					(signal) -> lifecycle.requestStop("SIG" + name, SIGNAL_EXIT_CODE + signal.getNumber()));
		}
		return lifecycle;
	}

	/**
	 * Handles SIGTERM, SIGINT and SIGHUP.
	 * @param clock monotonic clock
	 * @return the lifecycle of this process
	 */
	public static Lifecycle installWithReload(MillisClock clock) {
		Lifecycle lifecycle = install(clock);
		Signal.handle(new Signal("HUP"), (signal) -> lifecycle.requestReload("SIGHUP"));
		return lifecycle;
	}

}
