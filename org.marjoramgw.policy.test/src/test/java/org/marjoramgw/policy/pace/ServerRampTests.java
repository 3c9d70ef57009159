package org.marjoramgw.policy.pace;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.IntPredicate;

import org.marjoramgw.ManualMillisClock;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests {@link ServerRamp} with 30 processes that hear each other.
 *
 * @author The marjoramgw authors
 */
public class ServerRampTests {

	private static final int MEMBERS = 30;

	private static final int OLD_SERVER = 1;

	private static final int NEW_SERVER = 2;

	private ManualMillisClock clock;

	private Map<String, ServerRamp> rampById;

	@BeforeMethod
	public void startProcesses() {
		this.clock = new ManualMillisClock(0);
		this.rampById = new LinkedHashMap<>();
		for (int member = 0; member < MEMBERS; member++) {
			String id = "e" + member;
			this.rampById.put(id, new ServerRamp(id, this.clock, RampListener.NONE));
		}
		this.rampById.values().forEach((ramp) -> ramp.onMembers(MEMBERS - 1, this.rampById.keySet()));
		show(OLD_SERVER);
		this.clock.advanceMillis(10_000);
	}

	@Test
	public void newServerGetsOnePromptOfTwoProcessesThenOfTwiceAsManyEach() {
		show(NEW_SERVER);
		Assert.assertEquals(rounds(NEW_SERVER, 6, (prompt) -> true), List.of(2, 4, 8, 16, MEMBERS, MEMBERS));
		Assert.assertEquals(this.rampById.get("e0").rampingCount(), 0);
	}

	@Test
	public void processSendsOnePromptAtATimeDuringTheRamp() {
		show(NEW_SERVER);
		Assert.assertTrue(this.rampById.values().stream().noneMatch((ramp) -> ramp.mayReceive(NEW_SERVER, 1)));
		Assert.assertTrue(this.rampById.values().stream().allMatch((ramp) -> ramp.mayReceive(OLD_SERVER, 1)));
	}

	@Test
	public void serverThatRecoversFromACrashRampsUpAgain() {
		rounds(OLD_SERVER, 1, (prompt) -> false);
		Assert.assertEquals(rounds(OLD_SERVER, 6, (prompt) -> true), List.of(1, 2, 4, 8, 16, MEMBERS));
	}

	@Test
	public void flappingServerFailsFewPrompts() {
		int failed = 0;
		for (int flap = 0; flap < 20; flap++) {
			rounds(OLD_SERVER, 2, (prompt) -> true);
			failed += rounds(OLD_SERVER, 1, (prompt) -> false).get(0);
		}
		Assert.assertTrue(failed < MEMBERS + 20 * 4, "failed " + failed);
	}

	@Test
	public void serverThatFailsSomeRequestsKeepsAFewPrompts() {
		int sent = rounds(OLD_SERVER, 200, (prompt) -> prompt % 5 != 0).stream().mapToInt(Integer::intValue).sum();
		Assert.assertTrue(sent >= 200 && sent < 200 * MEMBERS / 2, "sent " + sent);
	}

	@Test
	public void slowServerRampsUpOnlyWhileItsFirstTokensAreTimely() {
		show(NEW_SERVER);
		Assert.assertEquals(rounds(NEW_SERVER, 5, (prompt) -> true).get(4), MEMBERS);
		show(NEW_SERVER + 1);
		List<Integer> late = rounds(NEW_SERVER + 1, 8, (prompt) -> prompt < 6);
		Assert.assertTrue(late.get(7) <= 2, late.toString());
	}

	@Test
	public void serversSeenAtTheStartAreNotNew() {
		ServerRamp ramp = new ServerRamp("e30", this.clock, RampListener.NONE);
		for (int server = 1; server <= 36; server++) {
			ramp.onUsable("s", server, "i-" + server);
			this.clock.advanceMillis(40);
		}
		Assert.assertEquals(ramp.rampingCount(), 0);
	}

	@Test
	public void processAloneSendsOnePromptThenTwiceAsManyConcurrently() {
		ServerRamp ramp = this.rampById.get("e0");
		ramp.onMembers(0, Set.of("e0"));
		ramp.onUsable("s", NEW_SERVER, "i-2");
		List<Integer> concurrent = new ArrayList<>();
		for (int round = 0; round < 4; round++) {
			int sent = 0;
			while (ramp.mayReceive(NEW_SERVER, sent)) {
				sent++;
			}
			concurrent.add(sent);
			ramp.onTimely(NEW_SERVER, sent);
		}
		Assert.assertEquals(concurrent, List.of(1, 2, 4, 8));
		Assert.assertEquals(ramp.step(NEW_SERVER), 0);
	}

	@Test
	public void serverWithoutPromptsDoesNotStayInItsRamp() {
		show(NEW_SERVER);
		ServerRamp last = this.rampById.values()
			.stream()
			.filter((ramp) -> !ramp.mayReceive(NEW_SERVER, 0))
			.findAny()
			.orElseThrow();
		int seconds = 0;
		while (!last.mayReceive(NEW_SERVER, 0)) {
			this.clock.advanceMillis(1_001);
			seconds++;
		}
		Assert.assertTrue(seconds <= 5, "seconds " + seconds);
	}

	private void show(int server) {
		this.rampById.values().forEach((ramp) -> ramp.onUsable("s", server, "i-" + server));
	}

	/**
	 * Lets each process that may send one prompt, and all learn how it went.
	 * @param server the server
	 * @param count number of rounds
	 * @param timely tells whether the prompt with this number is answered in time
	 * @return prompts that were sent, by round
	 */
	private List<Integer> rounds(int server, int count, IntPredicate timely) {
		List<Integer> sent = new ArrayList<>();
		int prompt = 0;
		for (int round = 0; round < count; round++) {
			List<ServerRamp> senders = this.rampById.values()
				.stream()
				.filter((ramp) -> ramp.mayReceive(server, 0))
				.toList();
			sent.add(senders.size());
			for (ServerRamp sender : senders) {
				boolean good = timely.test(prompt++);
				this.rampById.values().forEach((ramp) -> report(ramp, ramp == sender, server, good));
			}
			this.clock.advanceMillis(300);
		}
		return sent;
	}

	private static void report(ServerRamp ramp, boolean own, int server, boolean good) {
		if (good) {
			ramp.onTimely(server, 1);
		}
		else if (own) {
			ramp.onFailed(server);
		}
		else {
			ramp.onLate(server, 1);
		}
	}

}
