package org.marjoramgw.process;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests of the record of revisions, with answers of their own making.
 *
 * @author The marjoramgw authors
 */
public class RevisionRecordTests {

	private static final long REVISION = 19;

	@Test
	public void tellsARunningProcessThatWentBack() throws Exception {
		RevisionRecord record = new RevisionRecord();
		record.look("runner-1", () -> 1, () -> REVISION);
		record.look("runner-1", () -> 1, () -> REVISION - 1);
		Assert.assertEquals(record.reverts(), List.of("runner-1 1 went from 19 to 18"));
	}

	/**
	 * The process is restarted between the question for its id and its answer, so that
	 * its successor answers, which has no configuration yet.
	 */
	@Test
	public void takesAnAnswerOfTheSuccessorForNoRevert() throws Exception {
		RevisionRecord record = new RevisionRecord();
		AtomicLong pid = new AtomicLong(1);
		record.look("runner-1", pid::get, () -> REVISION);
		record.look("runner-1", pid::get, () -> {
			pid.set(2);
			return 0L;
		});
		Assert.assertEquals(record.reverts(), List.of());
	}

	@Test
	public void tellsASuccessorThatWentBackFromItsOwnRevision() throws Exception {
		RevisionRecord record = new RevisionRecord();
		record.look("runner-1", () -> 1, () -> REVISION);
		record.look("runner-1", () -> 2, () -> REVISION - 2);
		record.look("runner-1", () -> 2, () -> 0L);
		Assert.assertEquals(record.reverts(), List.of("runner-1 2 went from 17 to 0"));
	}

}
