package org.marjoramgw.load.driver;

import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.marjoramgw.load.experiment.Fault;
import org.marjoramgw.rig.RigException;
import org.marjoramgw.rig.StandinProcess;
import org.tinylog.Logger;

/**
 * Injects the faults of an experiment into the stand-ins at their scheduled times.
 *
 * @author The marjoramgw authors
 */
public final class FaultScheduler implements AutoCloseable {

	private final StandinProcess standins;

	private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();

	/**
	 * Creates a scheduler.
	 * @param standins process that runs the stand-ins
	 */
	public FaultScheduler(StandinProcess standins) {
		this.standins = standins;
	}

	/**
	 * Schedules faults relative to the time of this call.
	 * @param faults the faults
	 */
	public void schedule(List<Fault> faults) {
		faults
			.forEach((fault) -> this.timer.schedule(() -> inject(fault), fault.offsetMillis(), TimeUnit.MILLISECONDS));
	}

	@Override
	public void close() {
		this.timer.shutdownNow();
	}

	private void inject(Fault fault) {
		try {
			this.standins.control(fault.standin(), new ObjectMapper().writeValueAsString(fault.control()));
			Logger.info("injected fault at {}: {}", fault.standin(), fault.control());
		}
		catch (RigException | JsonProcessingException ex) {
			Logger.error(ex, "injecting the fault at {} failed", fault.standin());
		}
	}

}
