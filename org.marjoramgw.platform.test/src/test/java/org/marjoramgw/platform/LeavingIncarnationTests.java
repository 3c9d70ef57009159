package org.marjoramgw.platform;

import java.util.List;
import java.util.concurrent.atomic.AtomicReference;

import org.marjoramgw.direct.follow.KeyedRecord;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that what a backend server has said of its leaving holds for this incarnation of
 * it, whatever the store says, and for no other.
 *
 * @author The marjoramgw authors
 */
public class LeavingIncarnationTests {

	/**
	 * Each row: what happens to the store and to the registration after the notice.
	 * @return the rows
	 */
	@DataProvider
	public Object[][] sameIncarnation() {
		Change nothing = (fixture, record) -> {
		};
		Change registeredAgain = (fixture, record) -> fixture.directory().onRecords(List.of(record));
		Change deleted = (fixture, record) -> fixture.deregister(0);
		Change away = (fixture, record) -> fixture.directory().onUnreachable();
		return new Object[][] { { 7, List.of(nothing) }, { 7, List.of(registeredAgain) },
				{ 0, List.of(registeredAgain) }, { 7, List.of(deleted, registeredAgain) },
				{ 7, List.of(away, deleted) }, { 7, List.of(away, deleted, registeredAgain) } };
	}

	@Test(dataProvider = "sameIncarnation")
	public void noticeOutlastsWhatTheStoreSaysOfTheSameIncarnation(long born, List<Change> changes) throws Exception {
		ScriptedServer.Script leaving = LeavingPair
			.answer((request) -> LeavingPair.plain(request, LeavingPair.LEAVING));
		try (LeavingPair pair = new LeavingPair(leaving)) {
			KeyedRecord record = pair.leavingRegistration("i-0", born);
			pair.fixture().directory().onRecords(List.of(record));
			pair.callUntilReached("POST /book/1");
			changes.forEach((change) -> change.apply(pair.fixture(), record));
			pair.assertNoneLater("POST /book/1");
		}
	}

	@Test
	public void noticeOutlastsASnapshotWhileTheStoreIsAway() throws Exception {
		ScriptedServer.Script leaving = LeavingPair
			.answer((request) -> LeavingPair.plain(request, LeavingPair.LEAVING));
		try (LeavingPair pair = new LeavingPair(leaving)) {
			pair.fixture().directory().onUnreachable();
			pair.callUntilReached("POST /book/1");
			pair.fixture().directory().onSnapshot(List.of(pair.soundRegistration()));
			pair.assertNoneLater("POST /book/1");
			pair.fixture()
				.directory()
				.onSnapshot(List.of(pair.leavingRegistration("i-0", 0), pair.soundRegistration()));
			pair.assertNoneLater("POST /book/1");
		}
	}

	/**
	 * Each row: id and start of the server that comes back at the same address.
	 * @return the rows
	 */
	@DataProvider
	public Object[][] newIncarnations() {
		return new Object[][] { { "i-0", 8 }, { "i-9", 7 } };
	}

	@Test(dataProvider = "newIncarnations")
	public void newIncarnationStartsAfresh(String id, long born) throws Exception {
		AtomicReference<String> notice = new AtomicReference<>(LeavingPair.LEAVING);
		ScriptedServer.Script script = LeavingPair.answer((request) -> LeavingPair.plain(request, notice.get()));
		try (LeavingPair pair = new LeavingPair(script)) {
			pair.fixture().directory().onRecords(List.of(pair.leavingRegistration("i-0", 7)));
			pair.callUntilReached("POST /book/1");
			notice.set("");
			pair.fixture().directory().onRecords(List.of(pair.leavingRegistration(id, born)));
			Assert.assertTrue(pair.countLater("POST /book/1") > 0, "a new incarnation gets requests");
		}
	}

	/**
	 * Change of what the store says.
	 */
	@FunctionalInterface
	interface Change {

		void apply(ForwardingFixture fixture, KeyedRecord record);

	}

}
