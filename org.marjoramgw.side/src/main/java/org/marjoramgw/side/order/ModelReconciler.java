package org.marjoramgw.side.order;

import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.marjoramgw.DaemonThreadFactory;
import org.marjoramgw.ResultCode;
import org.marjoramgw.config.Configuration;
import org.marjoramgw.config.ConfigurationSource;
import org.marjoramgw.config.Service;
import org.marjoramgw.config.ServiceKind;
import org.marjoramgw.errors.HttpCallException;
import org.marjoramgw.errors.OrderFencedException;
import org.marjoramgw.errors.WeightStoreBusyException;
import org.marjoramgw.metrics.ResultCounters;
import org.marjoramgw.time.Jitter;
import org.tinylog.Logger;

/**
 * Reconciliation loop that orders an engine to load the models of its pool. Runs on its
 * own thread.
 * <p>
 * No order is sent before this process's start record is in the log, and none once the
 * engine has seen a newer fencing number.
 *
 * @author The marjoramgw authors
 */
public final class ModelReconciler implements AutoCloseable {

	private static final long RECONCILE_INTERVAL_MILLIS = 2_000;

	private static final long MIN_BACKOFF_MILLIS = 500;

	private static final long MAX_BACKOFF_MILLIS = 30_000;

	private final ModelLoader loader;

	private final ConfigurationSource configuration;

	private final String pool;

	private final Jitter jitter;

	private final ResultCounters counters;

	private final ScheduledExecutorService executor;

	private long backoffMillis = MIN_BACKOFF_MILLIS;

	/**
	 * Creates a reconciler that starts once the fencing number is known.
	 * @param loader loader of models
	 * @param configuration source of the configuration in effect
	 * @param pool pool of the engine
	 * @param fencingNumber completes with the fencing number of this process
	 * @param random source of the jitter
	 * @param counters counters of result codes
	 */
	public ModelReconciler(ModelLoader loader, ConfigurationSource configuration, String pool,
			CompletionStage<Long> fencingNumber, Random random, ResultCounters counters) {
		this.loader = loader;
		this.configuration = configuration;
		this.pool = pool;
		this.jitter = new Jitter(random);
		this.counters = counters;
		this.executor = Executors.newSingleThreadScheduledExecutor(new DaemonThreadFactory("engine-orders"));
		fencingNumber.thenAccept((number) -> schedule(0, number));
	}

	@Override
	public void close() {
		this.executor.shutdownNow();
	}

	private void schedule(long delayMillis, long fencing) {
		try {
			this.executor.schedule(() -> reconcile(fencing), delayMillis, TimeUnit.MILLISECONDS);
		}
		catch (RejectedExecutionException ex) {
			Logger.debug("engine reconciliation not scheduled: closed");
		}
	}

	private void reconcile(long fencing) {
		try {
			boolean complete = this.loader.loadNext(wantedModels(), fencing);
			this.backoffMillis = MIN_BACKOFF_MILLIS;
			schedule(complete ? this.jitter.aroundMillis(RECONCILE_INTERVAL_MILLIS) : 0, fencing);
		}
		catch (OrderFencedException ex) {
			this.counters.count(ResultCode.ORDER_FENCED);
			Logger.error("no more engine orders from this process: {}", ex.getMessage());
		}
		catch (WeightStoreBusyException ex) {
			backOff(ResultCode.WEIGHT_STORE_BUSY, ex, fencing);
		}
		catch (HttpCallException ex) {
			backOff(ResultCode.ENGINE_AWAY, ex, fencing);
		}
	}

	private void backOff(ResultCode code, Exception cause, long fencing) {
		this.counters.count(code);
		Logger.warn("engine reconciliation failed, retrying after backoff: {}", cause.getMessage());
		schedule(this.jitter.aroundMillis(this.backoffMillis), fencing);
		this.backoffMillis = Math.min(MAX_BACKOFF_MILLIS, this.backoffMillis * 2);
	}

	private Set<String> wantedModels() {
		Set<String> models = new TreeSet<>();
		for (Service service : this.configuration.current().map(Configuration::services).orElse(Map.of()).values()) {
			if (service.kind() == ServiceKind.MODEL && service.pool().equals(this.pool)) {
				models.addAll(service.models());
			}
		}
		return models;
	}

}
