package org.marjoramgw.process;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests of {@link RevisionHistory} with simulated answers.
 *
 * @author The marjoramgw authors
 */
public class RevisionHistoryTests {

	private static final long REVISION = 19;

	@Test
	public void reportsRegressionOfRunningProcess() throws Exception {
		RevisionHistory record = new RevisionHistory();
		record.observe("runner-1", () -> 1, () -> REVISION);
		record.observe("runner-1", () -> 1, () -> REVISION - 1);
		Assert.assertEquals(record.regressions(), List.of("runner-1 1 went from 19 to 18"));
	}

	/**
	 * Restarts the process between the lookup of its id and the answer, so that the new
	 * process answers, which has no configuration yet.
	 */
	@Test
	public void ignoresAnswerOfRestartedProcess() throws Exception {
		RevisionHistory record = new RevisionHistory();
		AtomicLong pid = new AtomicLong(1);
		record.observe("runner-1", pid::get, () -> REVISION);
		record.observe("runner-1", pid::get, () -> {
			pid.set(2);
			return 0L;
		});
		Assert.assertEquals(record.regressions(), List.of());
	}

	@Test
	public void reportsRegressionOfRestartedProcess() throws Exception {
		RevisionHistory record = new RevisionHistory();
		record.observe("runner-1", () -> 1, () -> REVISION);
		record.observe("runner-1", () -> 2, () -> REVISION - 2);
		record.observe("runner-1", () -> 2, () -> 0L);
		Assert.assertEquals(record.regressions(), List.of("runner-1 2 went from 17 to 0"));
	}

}
