package org.marjoramgw.policy.pace;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntPredicate;

import org.marjoramgw.ManualMillisClock;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests {@link ServerRamp}.
 *
 * @author The marjoramgw authors
 */
public class ServerRampTests {

	private static final int OLD_SERVER = 1;

	private static final int NEW_SERVER = 2;

	private static final double TOLERANCE = 0.001;

	/** Time between two first tokens at a server in full use, in milliseconds. */
	private static final long PROMPT_MILLIS = 250;

	private ManualMillisClock clock;

	private ServerRamp ramp;

	@BeforeMethod
	public void showOldServer() {
		this.clock = new ManualMillisClock(0);
		this.ramp = new ServerRamp(this.clock, RampListener.NONE);
		this.ramp.onUsable("s", OLD_SERVER, "i-1");
		this.clock.advanceMillis(10_000);
	}

	@Test
	public void newServerGetsAQuarterAndIsInFullUseAfterAFewTimelyFirstTokens() {
		this.ramp.onUsable("s", NEW_SERVER, "i-2");
		Assert.assertEquals(this.ramp.share(NEW_SERVER), 0.25, TOLERANCE);
		List<Double> shares = play(NEW_SERVER, 6, (prompt) -> true);
		Assert.assertTrue(shares.get(1) < 1, shares.toString());
		Assert.assertEquals(shares.get(5), 1, TOLERANCE);
		Assert.assertEquals(this.ramp.rampingCount(), 0);
	}

	@Test
	public void firstTokensThatPeersReportTogetherCountEach() {
		this.ramp.onUsable("s", NEW_SERVER, "i-2");
		this.ramp.onTimely(NEW_SERVER, 4);
		Assert.assertEquals(this.ramp.share(NEW_SERVER), 0.75, TOLERANCE);
		this.ramp.onLate(NEW_SERVER, 2);
		Assert.assertEquals(this.ramp.share(NEW_SERVER), 0.1875, TOLERANCE);
	}

	@Test
	public void serverThatRecoversFromFailuresRampsUpAgain() {
		this.ramp.onFailed(OLD_SERVER);
		Assert.assertEquals(this.ramp.share(OLD_SERVER), 1, TOLERANCE);
		this.ramp.onFailed(OLD_SERVER);
		Assert.assertEquals(this.ramp.share(OLD_SERVER), 0.5, TOLERANCE);
		Assert.assertEquals(play(OLD_SERVER, 4, (prompt) -> true).get(3), 1, TOLERANCE);
	}

	@Test
	public void flappingServerGetsFewPrompts() {
		double sum = 0;
		for (int flap = 0; flap < 20; flap++) {
			this.ramp.onUsable("s", 100 + flap, "i-" + flap);
			sum += this.ramp.share(100 + flap);
			this.ramp.onFailed(100 + flap);
			sum += this.ramp.share(100 + flap);
		}
		Assert.assertTrue(sum < 40 / 4, "sum " + sum);
	}

	@Test
	public void serverThatFailsSomeRequestsStaysInUse() {
		List<Double> shares = play(OLD_SERVER, 200, (prompt) -> prompt % 3 != 0);
		Assert.assertTrue(shares.stream().allMatch((share) -> share > 0));
		Assert.assertTrue(shares.stream().mapToDouble(Double::doubleValue).average().orElseThrow() > 0.2);
	}

	@Test
	public void slowServerStaysBelowTheShareAtWhichItsFirstTokensAreLate() {
		this.ramp.onUsable("s", NEW_SERVER, "i-2");
		double most = 0;
		for (int prompt = 0; prompt < 100; prompt++) {
			double share = this.ramp.share(NEW_SERVER);
			most = Math.max(most, share);
			this.clock.advanceMillis(PROMPT_MILLIS);
			if (share > 0.5) {
				this.ramp.onLate(NEW_SERVER, 1);
			}
			else {
				this.ramp.onTimely(NEW_SERVER, 1);
			}
		}
		Assert.assertTrue(most < 0.7, "most " + most);
		Assert.assertEquals(this.ramp.rampingCount(), 1);
	}

	@Test
	public void lateFirstTokensUnderOverloadStartNoRamp() {
		for (int prompt = 0; prompt < 50; prompt++) {
			this.ramp.onLate(OLD_SERVER, 1);
		}
		Assert.assertEquals(this.ramp.share(OLD_SERVER), 1, TOLERANCE);
	}

	@Test
	public void serversSeenAtTheStartAreNotNew() {
		ServerRamp started = new ServerRamp(this.clock, RampListener.NONE);
		for (int server = 1; server <= 36; server++) {
			started.onUsable("s", server, "i-" + server);
			this.clock.advanceMillis(40);
		}
		Assert.assertEquals(started.rampingCount(), 0);
	}

	@Test
	public void serverWithoutPromptsDoesNotStayInItsRamp() {
		this.ramp.onUsable("s", NEW_SERVER, "i-2");
		int seconds = 0;
		while (this.ramp.share(NEW_SERVER) < 1) {
			this.clock.advanceMillis(1_001);
			seconds++;
		}
		Assert.assertTrue(seconds <= 3, "seconds " + seconds);
	}

	/**
	 * Lets a server answer prompts.
	 * @param server the server
	 * @param count number of prompts
	 * @param timely tells whether the prompt with this number is answered in time; others
	 * fail
	 * @return the share after each prompt
	 */
	private List<Double> play(int server, int count, IntPredicate timely) {
		List<Double> shares = new ArrayList<>();
		for (int prompt = 0; prompt < count; prompt++) {
			this.clock.advanceMillis(PROMPT_MILLIS);
			if (timely.test(prompt)) {
				this.ramp.onTimely(server, 1);
			}
			else {
				this.ramp.onFailed(server);
			}
			shares.add(this.ramp.share(server));
		}
		return shares;
	}

}
