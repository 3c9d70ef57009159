package org.marjoramgw.entry.caller;

import java.util.Random;
import java.util.concurrent.atomic.AtomicReference;

import org.marjoramgw.MillisClock;
import org.marjoramgw.ResultCode;
import org.marjoramgw.config.ConfigurationSource;
import org.marjoramgw.entry.EntrySettings;
import org.marjoramgw.entry.dispatch.DispatchContext;
import org.marjoramgw.entry.dispatch.OpenRequests;
import org.marjoramgw.entry.dispatch.SideProcesses;
import org.marjoramgw.errors.RequestRejectedException;
import org.marjoramgw.http.MemoryBudget;
import org.marjoramgw.metrics.ResultCounters;
import org.marjoramgw.policy.retry.Backoff;
import org.marjoramgw.policy.retry.RetryBudget;
import org.marjoramgw.trace.DecisionLog;

/**
 * Components of the entry process that callers' requests use; thread-safe.
 *
 * @author The marjoramgw authors
 */
public final class EntryContext {

	private static final double MAX_SAVED_RETRIES = 20;

	private static final long BASE_BACKOFF_MILLIS = 20;

	private static final long MAX_BACKOFF_MILLIS = 500;

	private final EntrySettings settings;

	private final MillisClock clock;

	private final SideProcesses sides;

	private final OpenRequests openRequests;

	private final ResultCounters counters;

	private final DecisionLog decisions;

	private final MemoryBudget callerMemory;

	private final RetryBudget retryBudget = new RetryBudget(MAX_SAVED_RETRIES);

	private final Backoff backoff;

	private final AtomicReference<RoutingTable> routingTable = new AtomicReference<>();

	private volatile boolean closed;

	/**
	 * Creates the context and follows the configuration.
	 * @param settings settings of the entry
	 * @param clock clock for deadlines and records of decisions
	 * @param sides connected side processes
	 * @param openRequests open requests
	 * @param counters counters of result codes
	 * @param decisions log of decisions about requests
	 * @param configuration source of the configuration
	 * @param callerMemory budget of the memory held for callers
	 * @param random source of randomness for candidate selection and backoff
	 */
	public EntryContext(EntrySettings settings, MillisClock clock, SideProcesses sides, OpenRequests openRequests,
			ResultCounters counters, DecisionLog decisions, ConfigurationSource configuration,
			MemoryBudget callerMemory, Random random) {
		this.settings = settings;
		this.clock = clock;
		this.sides = sides;
		this.openRequests = openRequests;
		this.counters = counters;
		this.decisions = decisions;
		this.callerMemory = callerMemory;
		this.backoff = new Backoff(BASE_BACKOFF_MILLIS, MAX_BACKOFF_MILLIS, random);
		configuration.addListener((current) -> this.routingTable.set(new RoutingTable(current, random)));
	}

	/**
	 * Stops accepting requests; later ones are rejected with
	 * {@link ResultCode#ENTRY_LEAVING}.
	 */
	public void close() {
		this.closed = true;
	}

	RoutingTable routingTable() throws RequestRejectedException {
		if (this.closed) {
			throw new RequestRejectedException(ResultCode.ENTRY_LEAVING, "");
		}
		RoutingTable current = this.routingTable.get();
		if (current == null) {
			throw new RequestRejectedException(ResultCode.NO_CONFIGURATION, "");
		}
		return current;
	}

	DispatchContext dispatchContext(RoutingTable table) {
		return new DispatchContext(this.settings, table.configuration().limits(), this.clock, this.sides,
				this.openRequests, table.selector(), this.retryBudget, this.backoff, this.counters, this.decisions);
	}

	MemoryBudget callerMemory() {
		return this.callerMemory;
	}

	long bodyTimeoutMillis() {
		return this.settings.callerLimits().bodyTimeoutMillis();
	}

	int claimPartitionCount() {
		return this.settings.claimPartitionCount();
	}

	SideProcesses sides() {
		return this.sides;
	}

	OpenRequests openRequests() {
		return this.openRequests;
	}

	ResultCounters counters() {
		return this.counters;
	}

	DecisionLog decisions() {
		return this.decisions;
	}

}
