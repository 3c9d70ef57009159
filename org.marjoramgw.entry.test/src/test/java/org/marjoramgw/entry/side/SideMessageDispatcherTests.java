package org.marjoramgw.entry.side;

import java.util.Optional;

import org.marjoramgw.ResultCode;
import org.marjoramgw.wire.Message;
import org.marjoramgw.wire.MessageCodec;
import org.marjoramgw.wire.PeerIdentity;
import org.marjoramgw.wire.PeerStatus;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests which side processes an entry trusts.
 *
 * @author The marjoramgw authors
 */
public class SideMessageDispatcherTests {

	private static final String TOKEN = "deployment-token";

	@DataProvider
	public Object[][] greetings() {
		return new Object[][] { { MessageCodec.VERSION, TOKEN, null },
				{ MessageCodec.VERSION, "", ResultCode.BAD_TOKEN },
				{ MessageCodec.VERSION, TOKEN + "x", ResultCode.BAD_TOKEN },
				{ MessageCodec.VERSION + 1, TOKEN, ResultCode.BAD_VERSION } };
	}

	@Test(dataProvider = "greetings")
	public void trustsTheTokenAndVersionAlone(int version, String token, ResultCode refusal) {
		SideMessageDispatcher inbox = new SideMessageDispatcher(TOKEN, null, null, null, null);
		Message.Hello hello = new Message.Hello(version, token,
				new PeerIdentity("side-1", "side", "dal-a", 1, "model-runners"), new PeerStatus(1, false, 0, 0, 8));
		Assert.assertEquals(inbox.refusal(hello), Optional.ofNullable(refusal));
	}

}
