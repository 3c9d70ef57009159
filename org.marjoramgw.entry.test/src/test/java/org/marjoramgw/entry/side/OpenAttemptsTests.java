package org.marjoramgw.entry.side;

import org.marjoramgw.wire.Message;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests {@link OpenAttempts}.
 *
 * @author The marjoramgw authors
 */
public class OpenAttemptsTests {

	@DataProvider
	public Object[][] ends() {
		return new Object[][] { { new Message.Release("r", 1), true, true }, { new Message.Cancel("r", 1), true, true },
				{ new Message.Refusal("r", 1, 3001, 0), false, true },
				{ new Message.End("r", 1, 0, 1000, 200, "", ""), false, true },
				{ new Message.Release("r", 2), true, false }, { new Message.Refusal("x", 1, 3001, 0), false, false },
				{ new Message.Grant("r", 1, 100), false, false },
				{ new Message.Chunk("r", 1, 0, 1, new byte[0]), false, false } };
	}

	@Test(dataProvider = "ends")
	public void removesAnAttemptOnlyWhenItEnds(Message message, boolean sent, boolean removed) {
		OpenAttempts attempts = new OpenAttempts();
		attempts.onSent(new Message.Reserve("r", 1, "s", "m", "c", "a", 1, 1, 1));
		Assert.assertFalse(attempts.isEmpty());
		if (sent) {
			attempts.onSent(message);
		}
		else {
			attempts.onReceived(message);
		}
		Assert.assertEquals(attempts.isEmpty(), removed);
	}

}
