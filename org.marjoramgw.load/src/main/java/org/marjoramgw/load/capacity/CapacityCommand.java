package org.marjoramgw.load.capacity;

import java.io.IOException;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.marjoramgw.load.LoadCommand;
import org.marjoramgw.rig.RigException;

/**
 * Subcommand {@code capacity}: measures the slopes of the capacity page and prints them
 * as Markdown tables.
 *
 * @author The marjoramgw authors
 */
@Parameters(commandDescription = "Measure what a process costs as its peers, queues and keys grow")
public final class CapacityCommand implements LoadCommand {

	private static final int[] PEER_COUNTS = { 8, 16, 32, 64, 128 };

	private static final long WINDOW_MILLIS = 6_000;

	@Parameter(names = "--help", help = true, description = "Print the options and exit")
	private boolean help;

	@Parameter(names = "--only", description = "Number of the one measurement to run, from 1")
	private int only;

	@Override
	public boolean help() {
		return this.help;
	}

	@Override
	public void run() throws IOException, RigException, InterruptedException {
		ActorSystem<Void> system = ActorSystem.create(Behaviors.empty(), "capacity");
		try {
			List<Measurement> measurements = measurements(new CapacityRun(system));
			for (int number = 1; number <= measurements.size(); number++) {
				if (this.only == 0 || this.only == number) {
					print(number, measurements.get(number - 1));
				}
			}
		}
		finally {
			system.terminate();
		}
	}

	private static void print(int number, Measurement measurement)
			throws IOException, RigException, InterruptedException {
		System.out.println("### " + number + ". " + measurement.title() + "\n");
		System.out.println(measurement.measure());
	}

	private static List<Measurement> measurements(CapacityRun run) {
		return List.of(new SidePeersMeasurement(run, PEER_COUNTS, WINDOW_MILLIS),
				new EntryPeersMeasurement(run, PEER_COUNTS, WINDOW_MILLIS), new VmListMeasurement(run, WINDOW_MILLIS),
				new QueueMemoryMeasurement(run), new KeyedCallsMeasurement(run), new ReadBackMeasurement(run),
				new ChangeMeasurement(run), new SubsetMeasurement(), new LostDomainMeasurement(run));
	}

}
