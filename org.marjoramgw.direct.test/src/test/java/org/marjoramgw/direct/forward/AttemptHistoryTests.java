package org.marjoramgw.direct.forward;

import org.marjoramgw.ExecutionOutcome;
import org.marjoramgw.ResultCode;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests {@link AttemptHistory}.
 *
 * @author The marjoramgw authors
 */
public class AttemptHistoryTests {

	@Test
	public void noCodeSaysNotRunAfterAPossibleRun() {
		AttemptHistory history = new AttemptHistory();
		history.countPossibleRun();
		for (ResultCode code : ResultCode.values()) {
			Assert.assertNotEquals(history.adjustForPossibleRun(code).outcome(), ExecutionOutcome.NOT_RUN, code.name());
		}
	}

	@Test
	public void codesOfARequestThatWasNeverSentStay() {
		AttemptHistory history = new AttemptHistory();
		for (ResultCode code : ResultCode.values()) {
			Assert.assertEquals(history.adjustForPossibleRun(code), code);
		}
	}

}
