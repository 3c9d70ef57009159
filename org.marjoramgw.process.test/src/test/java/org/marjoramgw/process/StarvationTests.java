package org.marjoramgw.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.marjoramgw.rig.DeploymentPlan;
import org.marjoramgw.rig.ManagedProcess;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Proves that each class below a long burst gets its floor of slot-time in each window.
 *
 * @author The marjoramgw authors
 */
public class StarvationTests extends ProofTests {

	private static final long BURST_PERIOD_MILLIS = 40;

	private static final long PERIOD_MILLIS = 200;

	private static final long WINDOW_MILLIS = 5_000;

	private static final int WINDOW_COUNT = 4;

	private static final int ANSWER_TOKENS = 40;

	private static final double PERCENT = 100;

	@Override
	protected DeploymentPlan plan() {
		return ProofPlan.of(1, 1, 0);
	}

	@Test
	public void lowestClassGetsItsFloorInEachWindow() throws Exception {
		assertFloors(ProofConfiguration.TOP, List.of(ProofConfiguration.LOWEST));
	}

	@Test
	public void middleAndLowestClassGetTheirFloorInEachWindow() throws Exception {
		assertFloors(ProofConfiguration.TOP, List.of(ProofConfiguration.DRAFT, ProofConfiguration.LOWEST));
	}

	@Test
	public void lowestClassGetsItsFloorBelowABurstOfAMiddleClass() throws Exception {
		assertFloors(ProofConfiguration.DRAFT, List.of(ProofConfiguration.LOWEST));
	}

	private void assertFloors(String burst, List<String> below) throws Exception {
		List<SteadyLoad> loads = new ArrayList<>();
		try {
			loads.add(load(burst, BURST_PERIOD_MILLIS));
			below.forEach((requestClass) -> loads.add(load(requestClass, PERIOD_MILLIS)));
			assertFloorsInEachWindow(burst, below);
		}
		finally {
			for (SteadyLoad load : loads) {
				load.close();
			}
		}
		for (SteadyLoad load : loads) {
			Assert.assertEquals(SteadyLoad.broken(load.finish()), List.of());
		}
	}

	private void assertFloorsInEachWindow(String burst, List<String> below) throws Exception {
		ManagedProcess side = bed().deployment().side("runner-1");
		Thread.sleep(WINDOW_MILLIS / 2);
		for (int window = 0; window < WINDOW_COUNT; window++) {
			Map<String, Double> before = slotMillis(side);
			Thread.sleep(WINDOW_MILLIS);
			Map<String, Double> after = slotMillis(side);
			double all = sum(after) - sum(before);
			for (String requestClass : below) {
				double used = after.get(requestClass) - before.get(requestClass);
				Assert.assertTrue(used >= all * ProofConfiguration.FLOOR_PERCENT / PERCENT, requestClass + " in window "
						+ window + ": " + used + " of " + all + " ms of slot-time, " + burst + " bursts");
			}
		}
	}

	private SteadyLoad load(String requestClass, long periodMillis) {
		return new SteadyLoad(bed(), List.of("entry-1"), requestClass, ANSWER_TOKENS, periodMillis);
	}

	private Map<String, Double> slotMillis(ManagedProcess side) throws Exception {
		Map<String, Double> millisByClass = new HashMap<>();
		String metrics = bed().metrics(side);
		for (String requestClass : List.of(ProofConfiguration.TOP, ProofConfiguration.DRAFT,
				ProofConfiguration.LOWEST)) {
			String name = "slot_time_ms_" + requestClass.replace('-', '_') + " ";
			millisByClass.put(requestClass,
					metrics.lines()
						.filter((line) -> line.startsWith(name))
						.mapToDouble((line) -> Double.parseDouble(line.substring(name.length())))
						.sum());
		}
		return millisByClass;
	}

	private static double sum(Map<String, Double> millisByClass) {
		return millisByClass.values().stream().mapToDouble(Double::doubleValue).sum();
	}

}
