package org.marjoramgw.policy.quarantine;

import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;

import org.marjoramgw.testkit.TestSeed;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests {@link Quarantine} in many processes with random traffic and crashes.
 *
 * @author The marjoramgw authors
 */
public class QuarantineFleetTests {

	private static final int SEEDS = 12;

	private static final int SEEDS_OF_LARGE_FLEETS = 3;

	/**
	 * Cases of plain crashes, of which few convict a sound part if the rules are weak.
	 */
	private static final int SEEDS_OF_PLAIN_CRASHES = 200;

	private static final int LARGE_FLEET = 10;

	private static final long DURATION_MILLIS = 25_000;

	private static final int STEPS_PER_SECOND = 50;

	/** Time after the fifth crash from which only few more prompts may be sent. */
	private static final long CONTACT_MILLIS = 3_000;

	private static final int MAX_LATE_PROMPTS = 3;

	private static final int FIRST_PARTS = 20;

	private static final int RARE_PARTS = 400;

	private static final PromptPartKey BAD = new PromptPartKey(SimulatedFleet.MODEL, "bad");

	private static final PromptPartKey WORSE = new PromptPartKey(SimulatedFleet.MODEL, "worse");

	private static final PromptPartKey FIRST = new PromptPartKey(SimulatedFleet.MODEL, "first-12");

	/**
	 * Each row: processes, servers, sound prompts a second, bad prompts a second.
	 * @return the rows
	 */
	@DataProvider
	public Object[][] fleets() {
		return new Object[][] { { 4, 6, 57, 1.2 }, { 5, 6, 57, 0.3 }, { 33, 42, 280, 8.0 }, { 33, 42, 280, 0.5 } };
	}

	/**
	 * Fleets in which few prompts are answered while bad ones come; rows as above.
	 * Crashes for other reasons and restarts of processes are left out.
	 * @return the rows
	 */
	@DataProvider
	public Object[][] quietFleets() {
		return new Object[][] { { 2, 6, 2.0, 2.0 }, { 2, 6, 4.0, 1.0 }, { 4, 6, 1.0, 1.0 }, { 4, 12, 2.0, 2.0 } };
	}

	/**
	 * Guards against a verdict that waits for answers while servers crash on and on.
	 */
	@Test(dataProvider = "quietFleets")
	public void badPartIsFoundInTimeWhileFewPromptsAreAnswered(int processes, int servers, double soundRate,
			double badRate) {
		for (int seed = 0; seed < SEEDS; seed++) {
			SimulatedFleet fleet = new SimulatedFleet(TestSeed.random(seed), processes, servers, Set.of(BAD));
			Random random = TestSeed.random(seed);
			while (fleet.nowMillis() < DURATION_MILLIS) {
				sound(fleet, random, soundRate);
				if (random.nextDouble() < badRate / STEPS_PER_SECOND) {
					fleet.request(SimulatedFleet.MODEL, "first-" + random.nextInt(FIRST_PARTS), "bad");
				}
				fleet.step();
			}
			assertFound(fleet, Set.of(BAD), seed);
		}
	}

	/**
	 * Guards against the same where all servers are down most of the time.
	 */
	@Test
	public void badPartIsFoundInTimeWhileHardlyAnyPromptIsAnswered() {
		badPartIsFoundInTimeWhileFewPromptsAreAnswered(2, 6, 1.0, 2.0);
	}

	/** Guards against sound parts that are convicted on the word of few answers. */
	@Test(dataProvider = "quietFleets")
	public void plainCrashesConvictNoPartWhileFewPromptsAreAnswered(int processes, int servers, double soundRate,
			double ignored) {
		plainCrashesConvictNoPart(processes, servers, soundRate, ignored);
	}

	@Test(dataProvider = "fleets")
	public void badPartIsFoundInTimeAndNoOther(int processes, int servers, double soundRate, double badRate) {
		for (int seed = 0; seed < seeds(processes); seed++) {
			SimulatedFleet fleet = new SimulatedFleet(TestSeed.random(seed), processes, servers, Set.of(BAD));
			play(fleet, TestSeed.random(seed), soundRate, badRate,
					(random) -> fleet.request(SimulatedFleet.MODEL, "first-" + random.nextInt(FIRST_PARTS), "bad"));
			assertFound(fleet, Set.of(BAD), seed);
		}
	}

	@Test(dataProvider = "fleets")
	public void twoBadPartsAreFound(int processes, int servers, double soundRate, double badRate) {
		for (int seed = 0; seed < seeds(processes); seed++) {
			SimulatedFleet fleet = new SimulatedFleet(TestSeed.random(seed), processes, servers, Set.of(BAD, WORSE));
			play(fleet, TestSeed.random(seed), soundRate, badRate,
					(random) -> fleet.request(SimulatedFleet.MODEL, "first-1", random.nextBoolean() ? "bad" : "worse"));
			assertFound(fleet, Set.of(BAD, WORSE), seed);
		}
	}

	@Test(dataProvider = "fleets")
	public void badPartWithTheFirstPartOfSoundPromptsIsFoundAlone(int processes, int servers, double soundRate,
			double badRate) {
		for (int seed = 0; seed < seeds(processes); seed++) {
			SimulatedFleet fleet = new SimulatedFleet(TestSeed.random(seed), processes, servers, Set.of(BAD));
			play(fleet, TestSeed.random(seed), soundRate, badRate,
					(random) -> fleet.request(SimulatedFleet.MODEL, "first-12", "bad"));
			assertFound(fleet, Set.of(BAD), seed);
		}
	}

	@Test(dataProvider = "fleets")
	public void partThatIsBadOnOneModelIsRefusedThereOnly(int processes, int servers, double soundRate,
			double badRate) {
		for (int seed = 0; seed < seeds(processes); seed++) {
			SimulatedFleet fleet = new SimulatedFleet(TestSeed.random(seed), processes, servers, Set.of(BAD));
			play(fleet, TestSeed.random(seed), soundRate, badRate, (random) -> fleet
				.request(random.nextBoolean() ? SimulatedFleet.MODEL : SimulatedFleet.OTHER_MODEL, "first-1", "bad"));
			assertFound(fleet, Set.of(BAD), seed);
		}
	}

	/** Guards against sound parts that are convicted since they are always in use. */
	@Test(dataProvider = "fleets")
	public void plainCrashesConvictNoPart(int processes, int servers, double soundRate, double ignored) {
		int seeds = (processes < LARGE_FLEET) ? SEEDS_OF_PLAIN_CRASHES : SEEDS_OF_LARGE_FLEETS;
		for (int seed = 0; seed < seeds; seed++) {
			SimulatedFleet fleet = new SimulatedFleet(TestSeed.random(seed), processes, servers, Set.of());
			Random random = TestSeed.random(seed);
			while (fleet.nowMillis() < DURATION_MILLIS) {
				sound(fleet, random, soundRate);
				if (random.nextInt(STEPS_PER_SECOND) == 0) {
					fleet.crash((random.nextInt(3) == 0) ? 1 : 0.2);
				}
				fleet.step();
			}
			assertFound(fleet, Set.of(), seed);
		}
	}

	@Test(dataProvider = "fleets")
	public void firstPartThatTurnsBadIsFound(int processes, int servers, double soundRate, double badRate) {
		for (int seed = 0; seed < seeds(processes); seed++) {
			SimulatedFleet fleet = new SimulatedFleet(TestSeed.random(seed), processes, servers, Set.of(FIRST));
			play(fleet, TestSeed.random(seed), soundRate, badRate,
					(random) -> fleet.request(SimulatedFleet.MODEL, "first-12", "rare-" + random.nextInt(RARE_PARTS)));
			assertFound(fleet, Set.of(FIRST), seed);
		}
	}

	private static int seeds(int processes) {
		return (processes < LARGE_FLEET) ? SEEDS : SEEDS_OF_LARGE_FLEETS;
	}

	private static void play(SimulatedFleet fleet, Random random, double soundRate, double badRate,
			Consumer<Random> badRequest) {
		while (fleet.nowMillis() < DURATION_MILLIS) {
			sound(fleet, random, soundRate);
			if (random.nextDouble() < badRate / STEPS_PER_SECOND) {
				badRequest.accept(random);
			}
			if (random.nextInt(STEPS_PER_SECOND * 10) == 0) {
				fleet.crash(0.2);
			}
			if (random.nextInt(STEPS_PER_SECOND * 5) == 0) {
				fleet.restartAProcess();
			}
			fleet.step();
		}
	}

	private static void sound(SimulatedFleet fleet, Random random, double rate) {
		double expected = rate / STEPS_PER_SECOND;
		for (int request = 0; request < expected; request++) {
			if (random.nextDouble() < expected / Math.ceil(expected)) {
				String first = "first-" + (int) (FIRST_PARTS * random.nextDouble() * random.nextDouble());
				if (random.nextBoolean()) {
					fleet.request(SimulatedFleet.MODEL, first);
				}
				else {
					fleet.request(SimulatedFleet.MODEL, first, "rare-" + random.nextInt(RARE_PARTS));
				}
			}
		}
	}

	private static void assertFound(SimulatedFleet fleet, Set<PromptPartKey> bad, int seed) {
		String message = "seed " + seed + " of " + TestSeed.value();
		Assert.assertTrue(bad.containsAll(fleet.convicted()), message + ": " + fleet.convicted());
		for (PromptPartKey part : bad) {
			Assert.assertTrue(fleet.lateArrivals(part, CONTACT_MILLIS) <= MAX_LATE_PROMPTS,
					message + ": " + fleet.lateArrivals(part, CONTACT_MILLIS) + " late with " + part);
		}
	}

}
