package org.marjoramgw.platform;

import java.util.List;

import org.marjoramgw.program.Pause;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that several processes report their usage together, each window once and whole.
 *
 * @author The marjoramgw authors
 */
public class UsageDutyTests {

	private static final int PROCESSES = 3;

	private static final int SECONDS = 30;

	private static final int ROUNDS = 40;

	private static final long ROUND_MILLIS = 50;

	@DataProvider
	public Object[][] faults() {
		FaultyTopic.Fault none = FaultyTopic.Fault.NONE;
		FaultyTopic.Fault lost = FaultyTopic.Fault.ANSWER_LOST;
		FaultyTopic.Fault late = FaultyTopic.Fault.EXECUTED_LATE;
		FaultyTopic.Fault away = FaultyTopic.Fault.AWAY;
		return new Object[][] { { new FaultyTopic.Fault[] { none } }, { new FaultyTopic.Fault[] { none, lost } },
				{ new FaultyTopic.Fault[] { none, none, late } },
				{ new FaultyTopic.Fault[] { none, away, none, lost, none, late, none } } };
	}

	@Test(dataProvider = "faults")
	public void countsOfAllProcessesAreReportedOnceWhileCallsOfTheStoreFail(FaultyTopic.Fault[] faults) {
		try (DutyFleet fleet = new DutyFleet(PROCESSES)) {
			fleet.setStoreFaults(faults);
			assertReported(fleet, countInAll(fleet));
		}
	}

	@Test
	public void successorReportsWhatAKilledHolderLeft() {
		try (DutyFleet fleet = new DutyFleet(PROCESSES)) {
			String first = fleet.awaitHolder("", SECONDS);
			int counted = countInAll(fleet);
			// The counts are shared, and not all of them are reported yet.
			Pause.millis(2 * DutyFleet.WINDOWS.lengthMillis());
			fleet.kill(first);
			Assert.assertNotEquals(fleet.awaitHolder(first, SECONDS), first);
			assertReported(fleet, counted);
		}
	}

	@Test
	public void releasedLeaseIsTakenOverWithTheLastCounts() {
		try (DutyFleet fleet = new DutyFleet(PROCESSES)) {
			String first = fleet.awaitHolder("", SECONDS);
			int counted = countInAll(fleet);
			fleet.duty(first).close(1_000);
			fleet.kill(first);
			Assert.assertNotEquals(fleet.awaitHolder(first, SECONDS), first);
			assertReported(fleet, counted);
		}
	}

	@Test
	public void windowsOfAnOutageOfTheStoreAreReportedAfterwards() {
		try (DutyFleet fleet = new DutyFleet(PROCESSES)) {
			fleet.awaitHolder("", SECONDS);
			fleet.setStoreFaults(FaultyTopic.Fault.AWAY);
			int counted = countInAll(fleet);
			Pause.millis(3_000);
			fleet.setStoreFaults(FaultyTopic.Fault.NONE);
			// The content of the first window after the outage may be fixed before every
			// process has shared its counts again, so only the later ones are whole.
			fleet.awaitReported(counted / 2, SECONDS);
			int again = countInAll(fleet);
			Assert.assertTrue(fleet.awaitReported(again, SECONDS) >= again);
			Assert.assertEquals(fleet.violations(), List.of());
			Assert.assertEquals(fleet.missingWindows(), List.of());
		}
	}

	@Test
	public void windowsOfAnOutageOfTheReceiverAreReportedAfterwards() {
		try (DutyFleet fleet = new DutyFleet(PROCESSES)) {
			fleet.awaitHolder("", SECONDS);
			fleet.setReceiverAway(true);
			int counted = countInAll(fleet);
			Pause.millis(5_000);
			fleet.setReceiverAway(false);
			assertReported(fleet, counted);
		}
	}

	private static int countInAll(DutyFleet fleet) {
		for (int round = 0; round < ROUNDS; round++) {
			for (int process = 0; process < PROCESSES; process++) {
				fleet.count(process);
			}
			Pause.millis(ROUND_MILLIS);
		}
		return ROUNDS * PROCESSES;
	}

	private static void assertReported(DutyFleet fleet, int counted) {
		Assert.assertEquals(fleet.awaitReported(counted, SECONDS), counted);
		// Several calls are open at a time, so an older window may be accepted a little
		// later than a newer one.
		for (int wait = 0; wait < SECONDS * 10 && !fleet.missingWindows().isEmpty(); wait++) {
			Pause.millis(100);
		}
		Assert.assertEquals(fleet.violations(), List.of());
		Assert.assertEquals(fleet.missingWindows(), List.of());
	}

}
