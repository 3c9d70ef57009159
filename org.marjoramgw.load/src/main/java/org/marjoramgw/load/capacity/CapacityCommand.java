package org.marjoramgw.load.capacity;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.marjoramgw.load.LoadCommand;
import org.marjoramgw.rig.RigException;

/**
 * Subcommand {@code capacity}: measures how the resource usage of a process grows and
 * prints the results as Markdown tables for the capacity page of the documentation.
 *
 * @author The marjoramgw authors
 */
@Parameters(commandDescription = "Measure what a process costs as its peers, queues and keys grow")
public final class CapacityCommand extends LoadCommand {

	private static final int[] PEER_COUNTS = { 8, 16, 32, 64, 128 };

	private static final long WINDOW_MILLIS = 6_000;

	/** The first measurements observe idle processes and run concurrently. */
	private static final int IDLE_MEASUREMENT_COUNT = 3;

	@Parameter(names = "--only", description = "Run only the measurement with this number, from 1")
	private int only;

	@Override
	public void run() throws IOException, RigException, InterruptedException {
		ActorSystem<Void> system = ActorSystem.create(Behaviors.empty(), "capacity");
		ExecutorService threads = Executors.newCachedThreadPool();
		try {
			List<Measurement> measurements = newMeasurements(new MeasurementContext(system));
			List<Future<String>> idle = new ArrayList<>();
			for (int index = 0; index < IDLE_MEASUREMENT_COUNT; index++) {
				Measurement measurement = measurements.get(index);
				idle.add(isWanted(index) ? threads.submit(measurement::measure) : null);
			}
			for (int index = 0; index < measurements.size(); index++) {
				if (isWanted(index)) {
					String text = (index < IDLE_MEASUREMENT_COUNT) ? awaitResult(idle.get(index))
							: measurements.get(index).measure();
					System.out.println("### " + (index + 1) + ". " + measurements.get(index).title() + "\n\n" + text);
				}
			}
		}
		finally {
			threads.shutdownNow();
			system.terminate();
		}
	}

	private boolean isWanted(int index) {
		return this.only == 0 || this.only == index + 1;
	}

	private static String awaitResult(Future<String> future) throws IOException, RigException, InterruptedException {
		try {
			return future.get();
		}
		catch (ExecutionException ex) {
			throw new RigException(ex.getCause().getMessage(), ex);
		}
	}

	private static List<Measurement> newMeasurements(MeasurementContext run) {
		return List.of(new SidePeersMeasurement(run, PEER_COUNTS, WINDOW_MILLIS),
				new EntryPeersMeasurement(run, PEER_COUNTS, WINDOW_MILLIS), new VmListMeasurement(run, WINDOW_MILLIS),
				new QueueMemoryMeasurement(run), new KeyedCallsMeasurement(run), new ClaimRecoveryMeasurement(run),
				new ConfigurationPropagationMeasurement(run), new SubsetMeasurement(),
				new FailureDomainLossMeasurement(run));
	}

}
