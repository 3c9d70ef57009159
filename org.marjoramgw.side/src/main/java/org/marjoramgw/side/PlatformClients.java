package org.marjoramgw.side;

import java.util.List;
import java.util.Random;
import java.util.function.BooleanSupplier;

import org.apache.pekko.actor.typed.ActorSystem;
import org.marjoramgw.MillisClock;
import org.marjoramgw.claim.ClaimSettings;
import org.marjoramgw.claim.ClaimStore;
import org.marjoramgw.claim.LogClaimStore;
import org.marjoramgw.claim.ProcessIncarnation;
import org.marjoramgw.config.ConfigurationParser;
import org.marjoramgw.config.ConfigurationSource;
import org.marjoramgw.config.LogConfigurationSource;
import org.marjoramgw.http.BlockingHttpClient;
import org.marjoramgw.log.HttpLogService;
import org.marjoramgw.log.LogService;
import org.marjoramgw.log.StartRecord;
import org.marjoramgw.log.StartRegistrar;
import org.marjoramgw.log.StartStream;
import org.marjoramgw.metrics.ResultCounters;
import org.marjoramgw.side.order.HttpEngineOrderClient;
import org.marjoramgw.side.order.ModelLoader;
import org.marjoramgw.side.order.ModelReconciler;
import org.marjoramgw.side.weightstore.HttpWeightStore;
import org.marjoramgw.vmlist.HttpVmList;
import org.marjoramgw.vmlist.Vm;
import org.marjoramgw.vmlist.VmListWatcher;
import org.marjoramgw.wire.PeerIdentity;

/**
 * Clients of the platform services: configuration, idempotency claims, engine orders and
 * the VM list.
 *
 * @author The marjoramgw authors
 */
final class PlatformClients implements AutoCloseable {

	private static final long CALL_TIMEOUT_MILLIS = 2_000;

	private static final long WEIGHT_LOAD_TIMEOUT_MILLIS = 60_000;

	private final VmListWatcher vmListWatcher;

	private final ConfigurationSource configuration;

	private final ClaimStore claimStore;

	private final StartRegistrar startRegistrar;

	private final ModelReconciler modelReconciler;

	/**
	 * Creates the clients and starts polling the platform.
	 * @param system the actor system that runs the HTTP calls
	 * @param settings the settings of the process
	 * @param self identity of this process
	 * @param clock the source of the current time
	 * @param counters counters of result codes
	 * @param hasPeers whether at least one entry is connected
	 */
	PlatformClients(ActorSystem<?> system, SideSettings settings, PeerIdentity self, MillisClock clock,
			ResultCounters counters, BooleanSupplier hasPeers) {
		BlockingHttpClient caller = new BlockingHttpClient(system, CALL_TIMEOUT_MILLIS, "");
		LogService log = new HttpLogService(caller, settings.logUrl());
		this.vmListWatcher = new VmListWatcher(new HttpVmList(caller, settings.vmListUrl()), settings.pollMillis());
		this.configuration = new LogConfigurationSource(log, new ConfigurationParser(), clock, settings.pollMillis(),
				() -> hasPeers.getAsBoolean() ? this.vmListWatcher.current().size() : 0, new Random(), counters);
		this.claimStore = new LogClaimStore(log, ClaimSettings.of(settings.claimPartitionCount()),
				new ProcessIncarnation(self.processId(), self.incarnation()), clock, counters);
		this.startRegistrar = new StartRegistrar(new StartStream(log),
				new StartRecord(self.processId(), self.incarnation()));
		this.modelReconciler = isModelLoadingEnabled(settings) ? newModelReconciler(system, settings, caller, counters)
				: null;
	}

	ConfigurationSource configuration() {
		return this.configuration;
	}

	ClaimStore claimStore() {
		return this.claimStore;
	}

	/**
	 * Registers an action to run each time the VM list marks this VM as leaving.
	 * @param processId id of this VM
	 * @param action the action; must be idempotent, since it may run more than once
	 */
	void onLeaving(String processId, Runnable action) {
		this.vmListWatcher.addListener((vms) -> {
			if (isLeaving(vms, processId)) {
				action.run();
			}
		});
	}

	@Override
	public void close() {
		if (this.modelReconciler != null) {
			this.modelReconciler.close();
		}
		this.claimStore.close();
		this.startRegistrar.close();
		this.vmListWatcher.close();
		this.configuration.close();
	}

	private ModelReconciler newModelReconciler(ActorSystem<?> system, SideSettings settings, BlockingHttpClient caller,
			ResultCounters counters) {
		HttpWeightStore weightStore = new HttpWeightStore(
				new BlockingHttpClient(system, WEIGHT_LOAD_TIMEOUT_MILLIS, ""), settings.weightStoreUrl());
		ModelLoader loader = new ModelLoader(new HttpEngineOrderClient(caller, settings.backendUrl()), weightStore);
		return new ModelReconciler(loader, this.configuration, settings.pool(), this.startRegistrar.fencingNumber(),
				new Random(), counters);
	}

	private static boolean isModelLoadingEnabled(SideSettings settings) {
		return settings.model() && !settings.weightStoreUrl().isEmpty();
	}

	private static boolean isLeaving(List<Vm> vms, String processId) {
		return vms.stream().anyMatch((vm) -> vm.id().equals(processId) && Vm.LEAVING.equals(vm.state()));
	}

}
