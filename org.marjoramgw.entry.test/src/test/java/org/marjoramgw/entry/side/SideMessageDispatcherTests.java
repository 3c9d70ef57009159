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
 * Tests that a side process is accepted only with the right token and protocol version.
 *
 * @author The marjoramgw authors
 */
public class SideMessageDispatcherTests {

	private static final String TOKEN = "deployment-token";

	@DataProvider
	public Object[][] hellos() {
		return new Object[][] { { MessageCodec.VERSION, TOKEN, null },
				{ MessageCodec.VERSION, "", ResultCode.BAD_TOKEN },
				{ MessageCodec.VERSION, TOKEN + "x", ResultCode.BAD_TOKEN },
				{ MessageCodec.VERSION + 1, TOKEN, ResultCode.BAD_VERSION } };
	}

	@Test(dataProvider = "hellos")
	public void acceptsOnlyTheDeploymentTokenAndProtocolVersion(int version, String token, ResultCode refusal) {
		SideMessageDispatcher dispatcher = new SideMessageDispatcher(TOKEN, null, null, null, null);
		Message.Hello hello = new Message.Hello(version, token,
				new PeerIdentity("side-1", "side", "dal-a", 1, "model-runners"), new PeerStatus(1, false, 0, 0, 8));
		Assert.assertEquals(dispatcher.checkHello(hello), Optional.ofNullable(refusal));
	}

}
