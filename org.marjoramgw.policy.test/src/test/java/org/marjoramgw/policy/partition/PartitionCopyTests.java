package org.marjoramgw.policy.partition;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.marjoramgw.ManualMillisClock;
import org.marjoramgw.policy.placement.ServerView;
import org.marjoramgw.testkit.TestSeed;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests {@link PromptPartition#copy}.
 *
 * @author The marjoramgw authors
 */
public class PartitionCopyTests {

	private static final int STEPS = 600;

	private final ManualMillisClock clock = new ManualMillisClock(0);

	/**
	 * Guards against a copy that selects otherwise, and against one that changes what the
	 * original selects: two partitions see the same traffic, and only one is copied.
	 */
	@Test
	public void copySelectsAlikeAndLeavesTheOriginalAlone() {
		Random random = TestSeed.random(42);
		PromptPartition copied = new PromptPartition(this.clock);
		PromptPartition reference = new PromptPartition(this.clock);
		int divided = 0;
		for (int step = 0; step < STEPS; step++) {
			this.clock.advanceMillis(random.nextInt(100));
			boolean isLong = random.nextInt(4) == 0;
			boolean late = !isLong && step < STEPS / 2 && random.nextInt(3) == 0;
			feed(copied, isLong, late);
			feed(reference, isLong, late);
			int serverCount = 4 + random.nextInt(2);
			PromptPartition copy = copied.copy();
			List<ServerView> expected = copy.select("s", "short", servers(serverCount));
			copy.onRequest("s", "long", 1_000_000, Long.MAX_VALUE);
			this.clock.advanceMillis(300);
			copy.select("s", "short", servers(3));
			this.clock.advanceMillis(-300);
			List<ServerView> selected = copied.select("s", "short", servers(serverCount));
			Assert.assertEquals(selected, expected, "step " + step);
			Assert.assertEquals(selected, reference.select("s", "short", servers(serverCount)), "step " + step);
			divided += (selected.size() < serverCount) ? 1 : 0;
		}
		Assert.assertTrue(divided > STEPS / 4, "divided steps: " + divided);
	}

	private static void feed(PromptPartition partition, boolean isLong, boolean late) {
		String kind = isLong ? "long" : "short";
		partition.onRequest("s", kind, isLong ? 9_000 : 500, isLong ? 500 : 120);
		partition.onStream("s", kind);
		if (late) {
			partition.onLatePause("s", kind);
		}
		partition.onEnd("s", kind);
	}

	private static List<ServerView> servers(int count) {
		List<ServerView> servers = new ArrayList<>();
		for (int index = 0; index < count; index++) {
			servers.add(new ServerView("i-" + index, "a", 0, false));
		}
		return servers;
	}

}
