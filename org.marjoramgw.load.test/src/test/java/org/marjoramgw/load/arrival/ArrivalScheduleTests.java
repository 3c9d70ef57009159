package org.marjoramgw.load.arrival;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;

import org.marjoramgw.load.experiment.DeploymentDescription;
import org.marjoramgw.load.experiment.Experiment;
import org.marjoramgw.load.experiment.Phase;
import org.marjoramgw.load.experiment.RequestClassLoad;
import org.marjoramgw.testkit.TestSeed;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests the generated arrivals: reproducibility, rates, order and floods.
 *
 * @author The marjoramgw authors
 */
public class ArrivalScheduleTests {

	private static final Map<String, Integer> ACCOUNTS = Map.of("large", 3, "small", 1);

	private static final long MINUTE_MILLIS = 60_000;

	@Test
	public void sameSeedGivesTheSameArrivals() {
		Experiment experiment = experiment(TestSeed.value(), new Phase("p", MINUTE_MILLIS, 100, Map.of(), "", 0));
		List<Arrival> arrivals = new ArrivalSchedule(experiment, ACCOUNTS).generate();
		Assert.assertEquals(new ArrivalSchedule(experiment, ACCOUNTS).generate(), arrivals, seedMessage());
		Experiment other = experiment.withSeed(experiment.seed() + 1);
		Assert.assertNotEquals(new ArrivalSchedule(other, ACCOUNTS).generate(), arrivals, seedMessage());
	}

	@Test
	public void arrivalsMatchRatesAndAreSortedByTime() {
		Phase halfLoad = new Phase("half", MINUTE_MILLIS, 50, Map.of(), "", 0);
		Phase burstLoad = new Phase("most", MINUTE_MILLIS, 50, Map.of("burst", 200), "", 0);
		List<Arrival> arrivals = new ArrivalSchedule(experiment(TestSeed.value(), halfLoad, burstLoad), ACCOUNTS)
			.generate();
		assertNear(countInMinute(arrivals, "burst", 0), 1_500);
		assertNear(countInMinute(arrivals, "burst", 1), 6_000);
		assertNear(countInMinute(arrivals, "steady", 1), 1_500);
		long lastOffsetMillis = 0;
		for (Arrival arrival : arrivals) {
			Assert.assertTrue(arrival.offsetMillis() >= lastOffsetMillis, seedMessage());
			lastOffsetMillis = arrival.offsetMillis();
		}
	}

	@Test
	public void floodComesFromOneAccountOnly() {
		Phase flood = new Phase("flood", MINUTE_MILLIS, 100, Map.of(), "small", 200);
		List<Arrival> arrivals = new ArrivalSchedule(experiment(TestSeed.value(), flood), ACCOUNTS).generate();
		long smallAccountCount = arrivals.stream().filter((arrival) -> arrival.account().equals("small")).count();
		assertNear(smallAccountCount, 2 * (2 * 3_000 + 3_000 / 4));
		assertNear(arrivals.size() - smallAccountCount, 2 * 3_000 * 3 / 4);
	}

	private static long countInMinute(List<Arrival> arrivals, String requestClass, int minute) {
		return arrivals.stream()
			.filter((arrival) -> arrival.load().requestClass().equals(requestClass))
			.filter((arrival) -> arrival.offsetMillis() / MINUTE_MILLIS == minute)
			.count();
	}

	private static void assertNear(long actual, long expected) {
		Assert.assertEquals(actual, expected, 0.2 * expected, seedMessage());
	}

	private static String seedMessage() {
		return "seed " + TestSeed.value();
	}

	private static Experiment experiment(long seed, Phase... phases) {
		RequestClassLoad burst = new RequestClassLoad("burst", 3_000, 3, "m", true, 20, 50, 10, "", "", false);
		RequestClassLoad steady = new RequestClassLoad("steady", 3_000, 1, "m", true, 20, 50, 10, "", "", false);
		DeploymentDescription deployment = new DeploymentDescription("d", Path.of("none"), List.of(), List.of(),
				Map.of("burst", burst, "steady", steady));
		return new Experiment("e", deployment, seed, 10_000, 10, 0, false, Map.of(), Map.of(), Map.of(), Map.of(),
				List.of(phases), List.of());
	}

}
