package org.marjoramgw.policy.pace;

import java.util.List;
import java.util.Optional;

import org.marjoramgw.ManualMillisClock;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests {@link PaceBook}, {@link ServerPace} and {@link EventPauses}.
 *
 * @author The marjoramgw authors
 */
public class PaceBookTests {

	private static final int SERVER = 1;

	private static final int[] SERVICE = { SERVER, 2, 3, 4, 5 };

	private static final double TOLERANCE = 0.01;

	private PaceBook book;

	@BeforeMethod
	public void measureSteadyPace() {
		this.book = new PaceBook(new ManualMillisClock(0));
		for (int server : SERVICE) {
			measure(server, 15, 50);
		}
	}

	@Test
	public void outlierMovesNoTraffic() {
		measure(SERVER, 1, 2);
		Assert.assertEquals(pace().eventsPerSecond(), 50, TOLERANCE);
		measure(SERVER, 1, 500);
		Assert.assertEquals(pace().weight(), 1, TOLERANCE);
	}

	@Test
	public void serverThatIsOftenBusyIsNotTakenForSlow() {
		for (int round = 0; round < 20; round++) {
			measure(SERVER, 3, 20);
			measure(SERVER, 1, 50);
			Assert.assertFalse(pace().isSlow(), "round " + round);
		}
	}

	@Test
	public void serverThatHasBecomeSlowGetsLessWork() {
		measure(SERVER, 15, 20);
		Assert.assertTrue(pace().isSlow());
		Assert.assertEquals(pace().weight(), 0.4, 0.1);
		measure(SERVER, 15, 50);
		Assert.assertEquals(pace().weight(), 1, TOLERANCE);
	}

	/** Guards against overloaded servers whose prompts move away from their caches. */
	@Test
	public void serverThatPrefillsWithoutABreakIsNotTakenForSlow() {
		for (int sample = 0; sample < 15; sample++) {
			this.book.onMeasured(SERVER, new PaceMeasurement(8, 140));
		}
		Assert.assertFalse(pace().isSlow());
		Assert.assertEquals(pace().weight(), 1, TOLERANCE);
	}

	@Test
	public void weightOfASlowServerIsSteady() {
		measure(SERVER, 15, 20);
		double weight = pace().weight();
		for (double pace = 19.5; pace < 22.5; pace += 0.1) {
			measure(SERVER, 15, pace);
			Assert.assertEquals(pace().weight(), weight, TOLERANCE, "pace " + pace);
		}
	}

	@Test
	public void unknownServerHasTheMedianOfItsService() {
		List<ServerPace> paces = this.book.paces(new int[] { 9, 1, 2, 3 });
		Assert.assertEquals(paces.get(0).eventsPerSecond(), 50, TOLERANCE);
		measure(9, 2, 10);
		Assert.assertEquals(this.book.paces(new int[] { 9, 1, 2, 3 }).get(0).weight(), 1, TOLERANCE);
		Assert.assertEquals(new PaceBook(new ManualMillisClock(0)).paces(SERVICE).get(0).weight(), 1, TOLERANCE);
	}

	@Test
	public void malformedMeasurementOfAPeerIsIgnored() {
		for (double wrong : new double[] { Double.NaN, Double.POSITIVE_INFINITY, 0, -7 }) {
			measure(SERVER, 15, wrong);
		}
		Assert.assertEquals(pace().eventsPerSecond(), 50, TOLERANCE);
		measure(SERVER, 15, 1e300);
		Assert.assertEquals(pace().eventsPerSecond(), 200, TOLERANCE);
	}

	@Test
	public void prefillBetweenEventsDoesNotChangeTheMeasurement() {
		EventPauses pauses = new EventPauses();
		Optional<PaceMeasurement> measured = Optional.empty();
		for (long millis : new long[] { 180, 20, 175, 21, 180, 22, 190, 20, 170, 160 }) {
			measured = pauses.add(millis);
		}
		Assert.assertEquals(measured.orElseThrow().eventsPerSecond(), 50, TOLERANCE);
		Assert.assertEquals(measured.orElseThrow().longPauseMillis(), 180);
	}

	private void measure(int server, int count, double eventsPerSecond) {
		for (int sample = 0; sample < count; sample++) {
			// A slow server takes longer in the same ratio while it prefills prompts.
			this.book.onMeasured(server, new PaceMeasurement(eventsPerSecond, (int) (6_500 / eventsPerSecond)));
		}
	}

	private ServerPace pace() {
		return this.book.paces(SERVICE).get(0);
	}

}
