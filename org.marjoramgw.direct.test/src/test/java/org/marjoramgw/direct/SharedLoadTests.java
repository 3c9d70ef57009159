package org.marjoramgw.direct;

import java.util.List;
import java.util.Random;

import com.codahale.metrics.MetricRegistry;
import org.marjoramgw.ManualMillisClock;
import org.marjoramgw.policy.placement.AffinityPlacement;
import org.marjoramgw.policy.placement.LeastLoadedPlacement;
import org.marjoramgw.policy.placement.Placement;
import org.marjoramgw.policy.placement.PlacementQuery;
import org.marjoramgw.policy.placement.ServerView;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests {@link SharedLoad}.
 *
 * @author The marjoramgw authors
 */
public class SharedLoadTests {

	private static final PlacementQuery PROMPT = new PlacementQuery("s", "sys", "a", 500, 250);

	private static final ServerView OLD = new ServerView("i-0", "a", 0, false);

	private static final ServerView NEW = new ServerView("i-1", "a", 0, false);

	/** Guards against an explanation that starts or grows the ramp of a server. */
	@Test
	public void readOnlyPlacementChangesNoRamp() {
		ManualMillisClock clock = new ManualMillisClock(0);
		MetricRegistry registry = new MetricRegistry();
		SharedLoad load = new SharedLoad("edge-1", clock, () -> 0, registry,
				new AffinityPlacement(4, new LeastLoadedPlacement(new Random(1))));
		choose(load.placement(), OLD);
		clock.advanceMillis(10_000);
		choose(load.readOnlyPlacement(), OLD, NEW);
		Assert.assertEquals(rampingCount(registry), 0);
		choose(load.placement(), OLD, NEW);
		Assert.assertEquals(rampingCount(registry), 1);
		Assert.assertEquals(load.estimates(NEW).get("ramp_share"), 0.25);
		Assert.assertFalse(load.estimates(OLD).containsKey("ramp_share"));
		clock.advanceMillis(1_500);
		choose(load.readOnlyPlacement(), OLD, NEW);
		Assert.assertEquals(load.estimates(NEW).get("ramp_share"), 0.5);
		clock.advanceMillis(1_500);
		choose(load.readOnlyPlacement(), OLD, NEW);
		Assert.assertEquals(rampingCount(registry), 1);
		choose(load.placement(), OLD, NEW);
		Assert.assertEquals(rampingCount(registry), 0);
	}

	private static void choose(Placement placement, ServerView... servers) {
		placement.onUsable(PROMPT, List.of(servers));
		Assert.assertTrue(placement.choose(PROMPT, List.of(servers)).isPresent());
	}

	private static int rampingCount(MetricRegistry registry) {
		return (int) registry.getGauges().get("ramp.servers").getValue();
	}

}
