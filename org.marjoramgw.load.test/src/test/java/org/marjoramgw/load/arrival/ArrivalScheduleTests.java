package org.marjoramgw.load.arrival;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;

import org.marjoramgw.load.experiment.ClassLoad;
import org.marjoramgw.load.experiment.DeploymentDescription;
import org.marjoramgw.load.experiment.Experiment;
import org.marjoramgw.load.experiment.Phase;
import org.marjoramgw.testkit.TestSeed;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests of the drawn arrivals.
 *
 * @author The marjoramgw authors
 */
public class ArrivalScheduleTests {

	private static final Map<String, Integer> ACCOUNTS = Map.of("large", 3, "small", 1);

	private static final long MINUTE_MILLIS = 60_000;

	@Test
	public void sameSeedGivesTheSameArrivals() {
		Experiment experiment = experiment(TestSeed.value(), new Phase("p", MINUTE_MILLIS, 100, Map.of(), "", 0));
		List<Arrival> arrivals = new ArrivalSchedule(experiment, ACCOUNTS).draw();
		Assert.assertEquals(new ArrivalSchedule(experiment, ACCOUNTS).draw(), arrivals, message());
		Experiment other = experiment.withSeed(experiment.seed() + 1);
		Assert.assertNotEquals(new ArrivalSchedule(other, ACCOUNTS).draw(), arrivals, message());
	}

	@Test
	public void arrivalsKeepRateOrderAndTime() {
		Phase half = new Phase("half", MINUTE_MILLIS, 50, Map.of(), "", 0);
		Phase most = new Phase("most", MINUTE_MILLIS, 50, Map.of("burst", 200), "", 0);
		List<Arrival> arrivals = new ArrivalSchedule(experiment(TestSeed.value(), half, most), ACCOUNTS).draw();
		assertNear(count(arrivals, "burst", 0), 1_500);
		assertNear(count(arrivals, "burst", 1), 6_000);
		assertNear(count(arrivals, "steady", 1), 1_500);
		long last = 0;
		for (Arrival arrival : arrivals) {
			Assert.assertTrue(arrival.atMillis() >= last, message());
			last = arrival.atMillis();
		}
	}

	@Test
	public void floodComesFromOneAccountAlone() {
		Phase flood = new Phase("flood", MINUTE_MILLIS, 100, Map.of(), "small", 200);
		List<Arrival> arrivals = new ArrivalSchedule(experiment(TestSeed.value(), flood), ACCOUNTS).draw();
		long small = arrivals.stream().filter((arrival) -> arrival.account().equals("small")).count();
		assertNear(small, 2 * (2 * 3_000 + 3_000 / 4));
		assertNear(arrivals.size() - small, 2 * 3_000 * 3 / 4);
	}

	private static long count(List<Arrival> arrivals, String requestClass, int minute) {
		return arrivals.stream()
			.filter((arrival) -> arrival.load().requestClass().equals(requestClass))
			.filter((arrival) -> arrival.atMillis() / MINUTE_MILLIS == minute)
			.count();
	}

	private static void assertNear(long actual, long expected) {
		Assert.assertEquals(actual, expected, 0.2 * expected, message());
	}

	private static String message() {
		return "seed " + TestSeed.value();
	}

	private static Experiment experiment(long seed, Phase... phases) {
		ClassLoad burst = new ClassLoad("burst", 3_000, 3, "m", true, 20, 50, 10, "", "", false);
		ClassLoad steady = new ClassLoad("steady", 3_000, 1, "m", true, 20, 50, 10, "", "", false);
		DeploymentDescription deployment = new DeploymentDescription("d", Path.of("none"), List.of(), List.of(),
				Map.of("burst", burst, "steady", steady));
		return new Experiment("e", deployment, seed, 10_000, 10, 0, false, Map.of(), Map.of(), Map.of(), Map.of(),
				List.of(phases), List.of());
	}

}
