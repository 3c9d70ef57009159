package org.marjoramgw.platform;

import java.io.IOException;
import java.util.List;
import java.util.Map;

import org.marjoramgw.direct.follow.KeyedRecord;
import org.marjoramgw.program.Pause;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests entry processes whose store is restored from a copy while they follow it.
 *
 * @author The marjoramgw authors
 */
public class RestoredStoreTests {

	private static final int GRACE_SECONDS = 1;

	/** Time in which a change is in force everywhere, in milliseconds. */
	private static final int APPLY_MILLIS = 2_000;

	private static final int POLL_MILLIS = 50;

	private RestorableStore store;

	private ScriptedServer server;

	@BeforeMethod
	public void start() throws IOException {
		this.store = new RestorableStore();
		this.server = new ScriptedServer(ScriptedServer::respondGood);
		FixtureRecords.registrations(this.server)
			.forEach((registration) -> this.store.append(StoreClient.SERVERS_TOPIC, registration));
	}

	@AfterMethod
	public void stop() throws IOException {
		this.server.close();
		this.store.close();
	}

	/**
	 * Lists courses of a restoration.
	 * @return how long the store is away, in milliseconds, and the versions that the
	 * operator writes again and anew
	 */
	@DataProvider
	public Object[][] restorations() {
		return new Object[][] { { 100, List.of(10, 11, 12) }, { 600, List.of(10, 11, 12) },
				{ 100, List.of(10, 11, 12, 13) } };
	}

	/**
	 * Guards against a change that is skipped since its offset was read in another era.
	 */
	@Test(dataProvider = "restorations")
	public void changeAfterARestorationIsInForceInTime(int awayMillis, List<Integer> versions) throws Exception {
		for (int version = 1; version <= 7; version++) {
			write(version);
		}
		try (StartedEntry first = new StartedEntry(this.store.address(), GRACE_SECONDS);
				StartedEntry second = new StartedEntry(this.store.address(), GRACE_SECONDS)) {
			first.awaitReady();
			second.awaitReady();
			Map<String, List<KeyedRecord>> copy = this.store.copy();
			write(8);
			write(9);
			write(10);
			awaitServed(first, 10);
			awaitServed(second, 10);
			this.store.goAway();
			Pause.millis(awayMillis);
			this.store.restore(copy);
			versions.forEach(this::write);
			int last = versions.get(versions.size() - 1);
			awaitServed(first, last);
			awaitServed(second, last);
		}
	}

	/**
	 * Guards against a process that takes a copy, which holds less than it knows, for the
	 * state of the store: it would refuse what a lost change has added.
	 */
	@Test
	public void olderCopyRejectsNothingForGood() throws Exception {
		write(1);
		write(2);
		try (StartedEntry entry = new StartedEntry(this.store.address(), GRACE_SECONDS)) {
			entry.awaitReady();
			Map<String, List<KeyedRecord>> copy = this.store.copy();
			write(3);
			awaitServed(entry, 3);
			this.store.goAway();
			this.store.restore(copy);
			// The last confirmation is too old for a refusal by then, but not for a key.
			Pause.millis(APPLY_MILLIS);
			Assert.assertTrue(entry.status("/v3/1").endsWith("200"));
			Assert.assertTrue(entry.status("/v4/1").endsWith("503"));
			write(3);
			write(4);
			awaitServed(entry, 4);
			Assert.assertTrue(entry.status("/v5/1").endsWith("404"));
		}
	}

	private void write(int version) {
		this.store.append(StoreClient.OPERATOR_TOPIC, FixtureRecords.versionOfRoutes(version));
	}

	private static void awaitServed(StartedEntry entry, int version) throws IOException {
		String status = "";
		for (int waitedMillis = 0; waitedMillis <= APPLY_MILLIS; waitedMillis += POLL_MILLIS) {
			status = entry.status("/v" + version + "/1");
			if (status.endsWith("200")) {
				return;
			}
			Pause.millis(POLL_MILLIS);
		}
		Assert.fail("version " + version + " isn't in force, last status " + status + ": "
				+ entry.output().lines().filter((line) -> line.contains(".direct.follow.")).toList());
	}

}
