package org.marjoramgw.direct.peer;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.marjoramgw.policy.fleet.Digest;
import org.marjoramgw.policy.fleet.PromptReport;
import org.marjoramgw.policy.fleet.RoundSchedule;
import org.marjoramgw.policy.fleet.ServerReport;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests {@link DigestQueue}.
 *
 * @author The marjoramgw authors
 */
public class DigestQueueTests {

	private static final int SERVERS = 670;

	/** Makes keys as long as hashes are. */
	private static final int LARGE_KEY = 1 << 30;

	private DigestQueue queue;

	@BeforeMethod
	public void setUp() {
		this.queue = new DigestQueue();
	}

	/** Guards against a figure that arrives after a newer one. */
	@Test
	public void newerReportTakesThePlaceOfOneThatWaits() {
		add(false, report(1, 100));
		add(false, report(2, 100));
		add(false, report(1, 300));
		Assert.assertEquals(take(1_200).servers(), List.of(report(1, 300), report(2, 100)));
		Assert.assertEquals(take(1_200).servers(), List.of());
	}

	/** Guards against rows that didn't change and hold up those that did. */
	@Test
	public void changedReportsGoFirst() {
		add(false, report(1, 100), report(2, 100), report(3, 0));
		take(1_200);
		add(true, report(1, 100), report(2, 200), report(3, 0));
		Assert.assertEquals(take(50).servers(), List.of(report(2, 200)));
		Assert.assertEquals(take(1_200).servers(), List.of(report(1, 100), report(3, 0)));
		Assert.assertEquals(take(1_200).servers(), List.of());
	}

	/**
	 * Guards against a load that peers drop because changes leave no room to repeat it.
	 */
	@Test
	public void unchangedReportsGetAShareOfEachDigest() {
		add(false, report(1, 100), report(2, 100));
		take(1_200);
		add(true, report(1, 100), report(2, 100));
		for (int key = 3; key < 50; key++) {
			add(false, report(key, 100));
		}
		List<ServerReport> servers = take(180).servers();
		Assert.assertTrue(servers.containsAll(List.of(report(1, 100), report(2, 100), report(3, 100))),
				servers.toString());
	}

	/** Guards against changes that are lost while they wait for room. */
	@Test
	public void waitingChangeOutlivesACompleteDigestWithoutIt() {
		add(false, report(1, 0));
		add(true, report(2, 100));
		Assert.assertEquals(take(1_200).servers(), List.of(report(1, 0), report(2, 100)));
	}

	/** Guards against reports on servers that are gone. */
	@Test
	public void completeDigestEndsRepetitionsOfOtherServers() {
		add(false, report(1, 100), report(2, 100));
		take(1_200);
		add(true, report(1, 100), report(2, 100));
		add(true, report(2, 100));
		Assert.assertEquals(take(1_200).servers(), List.of(report(2, 100)));
	}

	/**
	 * Guards against rows that are never sent because a digest has no room for all, as
	 * with 320 entry processes in front of 670 servers.
	 */
	@Test
	public void allReportsOn670ServersGoOutInTurn() {
		List<ServerReport> reports = new ArrayList<>();
		for (int key = 0; key < SERVERS; key++) {
			reports.add(report(key, key % 3));
		}
		this.queue.add(digest(reports, List.of()), true);
		int maxBytes = new RoundSchedule().maxDigestBytes(24);
		DigestCodec codec = new DigestCodec();
		Set<Integer> keys = new HashSet<>();
		int rounds = 0;
		while (keys.size() < SERVERS) {
			Digest digest = take(maxBytes);
			Assert.assertTrue(codec.encode(digest).length <= maxBytes);
			digest.servers().forEach((report) -> keys.add(report.serverKey()));
			rounds++;
			Assert.assertTrue(rounds < SERVERS / 3, "rounds " + rounds);
		}
	}

	/** Guards against prompts that crowd out the load, or the other way round. */
	@Test
	public void promptsAndServersShareADigest() {
		for (int key = 0; key < 100; key++) {
			this.queue.add(digest(List.of(report(key, 100)), List.of(new PromptReport(key, key, 13_300))), false);
		}
		Digest digest = take(300);
		Assert.assertTrue(digest.servers().size() >= 5, "servers " + digest.servers().size());
		Assert.assertTrue(digest.prompts().size() >= 5, "prompts " + digest.prompts().size());
	}

	/** Guards against memory that grows while nothing can be sent. */
	@Test
	public void waitingPromptsAreBoundedAndTheOldestDropped() {
		for (int key = 0; key < 1_000; key++) {
			this.queue.add(digest(List.of(), List.of(new PromptReport(key, 1, 10))), false);
		}
		int count = 0;
		Digest digest = take(1_200);
		Assert.assertEquals(digest.prompts().get(0), new PromptReport(744, 1, 10));
		while (!digest.prompts().isEmpty()) {
			count += digest.prompts().size();
			digest = take(1_200);
		}
		Assert.assertEquals(count, 256);
	}

	private void add(boolean complete, ServerReport... reports) {
		this.queue.add(digest(List.of(reports), List.of()), complete);
	}

	private Digest take(int maxBytes) {
		return this.queue.take("entry-17", 1_700_000_000_000L, 5_000, maxBytes);
	}

	private static Digest digest(List<ServerReport> servers, List<PromptReport> prompts) {
		return new Digest("entry-17", 1, 1, servers, prompts);
	}

	private static ServerReport report(int serverKey, int unreadTokens) {
		return new ServerReport(LARGE_KEY + serverKey, unreadTokens, 1, 7, 0, 55, 230);
	}

}
