package org.marjoramgw.side;

import java.util.List;
import java.util.Random;
import java.util.function.BooleanSupplier;

import org.apache.pekko.actor.typed.ActorSystem;
import org.marjoramgw.MillisClock;
import org.marjoramgw.config.ConfigurationParser;
import org.marjoramgw.config.ConfigurationSource;
import org.marjoramgw.config.LogConfigurationSource;
import org.marjoramgw.http.HttpCaller;
import org.marjoramgw.log.HttpLogService;
import org.marjoramgw.log.LogService;
import org.marjoramgw.metrics.ResultCounters;
import org.marjoramgw.vmlist.HttpVmList;
import org.marjoramgw.vmlist.Vm;
import org.marjoramgw.vmlist.VmListWatcher;

/**
 * What the process reads from the platform.
 *
 * @author The marjoramgw authors
 */
final class Platform implements AutoCloseable {

	private static final long TIMEOUT_MILLIS = 2_000;

	private final LogService log;

	private final VmListWatcher vms;

	private final ConfigurationSource configuration;

	/**
	 * Starts reading.
	 * @param system the actor system that runs the calls
	 * @param settings the settings
	 * @param clock the clock
	 * @param counters counters of results
	 * @param hasPeers tells whether an entry is connected
	 */
	Platform(ActorSystem<?> system, SideSettings settings, MillisClock clock, ResultCounters counters,
			BooleanSupplier hasPeers) {
		HttpCaller caller = new HttpCaller(system, TIMEOUT_MILLIS, "");
		this.log = new HttpLogService(caller, settings.logUrl());
		this.vms = new VmListWatcher(new HttpVmList(caller, settings.vmListUrl()), settings.pollMillis());
		this.configuration = new LogConfigurationSource(this.log, new ConfigurationParser(), clock,
				settings.pollMillis(), () -> hasPeers.getAsBoolean() ? this.vms.current().size() : 0, new Random(),
				counters);
	}

	LogService log() {
		return this.log;
	}

	ConfigurationSource configuration() {
		return this.configuration;
	}

	/**
	 * Runs an action whenever the VM list says that this VM is leaving.
	 * @param processId id of this VM
	 * @param action the action, which must bear repetition
	 */
	void whenLeaving(String processId, Runnable action) {
		this.vms.listen((list) -> {
			if (isLeaving(list, processId)) {
				action.run();
			}
		});
	}

	private static boolean isLeaving(List<Vm> list, String processId) {
		return list.stream().anyMatch((vm) -> vm.id().equals(processId) && Vm.LEAVING.equals(vm.state()));
	}

	@Override
	public void close() {
		this.vms.close();
		this.configuration.close();
	}

}
