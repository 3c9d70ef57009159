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
 * Tests that each class in a lower tier than a sustained burst gets its floor of slot
 * time in each window.
 *
 * @author The marjoramgw authors
 */
public class StarvationTests extends AbstractDeploymentTests {

	private static final long BURST_INTERVAL_MILLIS = 40;

	private static final long INTERVAL_MILLIS = 200;

	private static final long WINDOW_MILLIS = 5_000;

	private static final int WINDOW_COUNT = 4;

	private static final int ANSWER_TOKENS = 40;

	private static final double HUNDRED_PERCENT = 100;

	@Override
	protected DeploymentPlan plan() {
		return DeploymentPlans.of(1, 1, 0);
	}

	@Test
	public void lowestClassGetsItsFloorInEachWindow() throws Exception {
		assertFloors(TestConfiguration.TOP_CLASS, List.of(TestConfiguration.LOWEST_CLASS));
	}

	@Test
	public void middleAndLowestClassGetTheirFloorInEachWindow() throws Exception {
		assertFloors(TestConfiguration.TOP_CLASS,
				List.of(TestConfiguration.DRAFT_CLASS, TestConfiguration.LOWEST_CLASS));
	}

	@Test
	public void lowestClassGetsItsFloorDuringBurstOfMiddleClass() throws Exception {
		assertFloors(TestConfiguration.DRAFT_CLASS, List.of(TestConfiguration.LOWEST_CLASS));
	}

	private void assertFloors(String burstClass, List<String> lowerClasses) throws Exception {
		List<SteadyLoad> loads = new ArrayList<>();
		try {
			loads.add(load(burstClass, BURST_INTERVAL_MILLIS));
			lowerClasses.forEach((requestClass) -> loads.add(load(requestClass, INTERVAL_MILLIS)));
			assertFloorsInEachWindow(burstClass, lowerClasses);
		}
		finally {
			for (SteadyLoad load : loads) {
				load.close();
			}
		}
		for (SteadyLoad load : loads) {
			List<String> unexpected = SteadyLoad.unexpectedAnswers(load.finish());
			Assert.assertEquals(unexpected, List.of(), unexpected.toString());
		}
	}

	private void assertFloorsInEachWindow(String burstClass, List<String> lowerClasses) throws Exception {
		ManagedProcess side = fixture().deployment().side("runner-1");
		Thread.sleep(WINDOW_MILLIS / 2);
		for (int window = 0; window < WINDOW_COUNT; window++) {
			Map<String, Double> before = slotMillis(side);
			Thread.sleep(WINDOW_MILLIS);
			Map<String, Double> after = slotMillis(side);
			double totalMillis = sum(after) - sum(before);
			for (String requestClass : lowerClasses) {
				double usedMillis = after.get(requestClass) - before.get(requestClass);
				Assert.assertTrue(usedMillis >= totalMillis * TestConfiguration.FLOOR_PERCENT / HUNDRED_PERCENT,
						requestClass + " in window " + window + ": " + usedMillis + " of " + totalMillis
								+ " ms of slot time during a burst of " + burstClass + " calls");
			}
		}
	}

	private SteadyLoad load(String requestClass, long intervalMillis) {
		return new SteadyLoad(fixture(), List.of("entry-1"), requestClass, ANSWER_TOKENS, intervalMillis);
	}

	private Map<String, Double> slotMillis(ManagedProcess side) throws Exception {
		Map<String, Double> millisByClass = new HashMap<>();
		String metrics = fixture().metrics(side);
		for (String requestClass : List.of(TestConfiguration.TOP_CLASS, TestConfiguration.DRAFT_CLASS,
				TestConfiguration.LOWEST_CLASS)) {
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
