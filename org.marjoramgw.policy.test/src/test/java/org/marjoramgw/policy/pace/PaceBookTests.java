package org.marjoramgw.policy.pace;

import org.marjoramgw.ManualMillisClock;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests {@link PaceBook}.
 *
 * @author The marjoramgw authors
 */
public class PaceBookTests {

	private static final int SERVER = 1;

	private static final double TOLERANCE = 0.01;

	private ManualMillisClock clock;

	private PaceBook book;

	@BeforeMethod
	public void measureSteadyPace() {
		this.clock = new ManualMillisClock(0);
		this.book = new PaceBook(this.clock);
		measure(12, 50);
	}

	@Test
	public void outlierMovesNoTrafficAfterASecond() {
		measure(1, 2);
		this.clock.advanceMillis(1_500);
		Assert.assertEquals(pace().steadyTokensPerMilli(), 50, TOLERANCE);
		Assert.assertTrue(pace().presentTokensPerMilli() > 45);
	}

	@Test
	public void shortSlowdownCountsAtOnceAndHasNoLastingEffect() {
		measure(3, 20);
		Assert.assertTrue(pace().presentTokensPerMilli() < 30);
		measure(1, 50);
		this.clock.advanceMillis(1_000);
		Assert.assertEquals(pace().steadyTokensPerMilli(), 50, TOLERANCE);
		Assert.assertTrue(pace().presentTokensPerMilli() > 45);
	}

	@Test
	public void lastingChangeBecomesTheSteadyPace() {
		measure(5, 25);
		Assert.assertEquals(pace().steadyTokensPerMilli(), 25, TOLERANCE);
	}

	@Test
	public void unknownServerHasTheMedianOfItsService() {
		for (int server = 2; server <= 4; server++) {
			this.book.onPeerPace(server, 20 * server);
		}
		Assert.assertEquals(this.book.paces(new int[] { 9, 1, 2, 3, 4 }).get(0).steadyTokensPerMilli(),
				Math.sqrt(50 * 60), TOLERANCE);
		Assert.assertEquals(this.book.paces(new int[] { 9 }).get(0).steadyTokensPerMilli(),
				PaceBook.DEFAULT_TOKENS_PER_MILLI);
	}

	@Test
	public void malformedMeasurementOfAPeerIsIgnored() {
		for (double wrong : new double[] { Double.NaN, Double.POSITIVE_INFINITY, 0, -7 }) {
			this.book.onPeerPace(SERVER, wrong);
		}
		Assert.assertEquals(pace().steadyTokensPerMilli(), 50, TOLERANCE);
	}

	@Test
	public void latencyIsNotHeldAgainstShorterPrompts() {
		PaceBook measured = new PaceBook(this.clock);
		measured.onFirstToken(SERVER, 10, 60);
		double shorter = measured.onFirstToken(SERVER, 2_500, 60 + 50);
		double longer = measured.onFirstToken(SERVER, 10_000, 60 + 200);
		Assert.assertTrue(shorter > 0.8 * longer, shorter + " and " + longer);
		Assert.assertEquals(measured.onFirstToken(SERVER, 100, 70), 0.0);
	}

	private void measure(int count, double tokensPerMilli) {
		for (int sample = 0; sample < count; sample++) {
			this.book.onPeerPace(SERVER, tokensPerMilli);
			this.clock.advanceMillis(200);
		}
	}

	private ServerPace pace() {
		return this.book.paces(new int[] { SERVER }).get(0);
	}

}
