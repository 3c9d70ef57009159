package org.marjoramgw.process;

import java.util.List;

import org.marjoramgw.rig.DeploymentPlan;
import org.marjoramgw.rig.ManagedProcess;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Proves that the lowest class gets its floor of slot-time in each window of a long burst
 * of the top class.
 *
 * @author The marjoramgw authors
 */
public class StarvationTests extends ProofTest {

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
		ManagedProcess side = bed().deployment().side("runner-1");
		SteadyLoad top = new SteadyLoad(bed(), List.of("entry-1"), ProofConfiguration.TOP, ANSWER_TOKENS, 40);
		SteadyLoad lowest = new SteadyLoad(bed(), List.of("entry-1"), ProofConfiguration.LOWEST, ANSWER_TOKENS, 200);
		Thread.sleep(WINDOW_MILLIS / 2);
		for (int window = 0; window < WINDOW_COUNT; window++) {
			double lowestBefore = slotMillis(side, ProofConfiguration.LOWEST);
			double allBefore = allSlotMillis(side);
			Thread.sleep(WINDOW_MILLIS);
			double used = slotMillis(side, ProofConfiguration.LOWEST) - lowestBefore;
			double all = allSlotMillis(side) - allBefore;
			Assert.assertTrue(used >= all * ProofConfiguration.LOWEST_FLOOR_PERCENT / PERCENT,
					"window " + window + ": " + used + " of " + all + " ms of slot-time");
		}
		top.close();
		lowest.close();
		Assert.assertEquals(SteadyLoad.broken(top.finish()), List.of());
		Assert.assertEquals(SteadyLoad.broken(lowest.finish()), List.of());
	}

	private double allSlotMillis(ManagedProcess side) throws Exception {
		return slotMillis(side, ProofConfiguration.TOP) + slotMillis(side, ProofConfiguration.LOWEST)
				+ slotMillis(side, ProofConfiguration.DRAFT);
	}

	private double slotMillis(ManagedProcess side, String requestClass) throws Exception {
		String name = "slot_time_ms_" + requestClass.replace('-', '_') + " ";
		return bed().metrics(side)
			.lines()
			.filter((line) -> line.startsWith(name))
			.mapToDouble((line) -> Double.parseDouble(line.substring(name.length())))
			.sum();
	}

}
