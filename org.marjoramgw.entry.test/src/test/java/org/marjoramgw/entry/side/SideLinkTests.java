package org.marjoramgw.entry.side;

import java.util.ArrayList;
import java.util.List;

import com.codahale.metrics.MetricRegistry;
import org.marjoramgw.ManualMillisClock;
import org.marjoramgw.ResultCode;
import org.marjoramgw.metrics.ResultCounters;
import org.marjoramgw.transport.Connection;
import org.marjoramgw.vmlist.Vm;
import org.marjoramgw.wire.Message;
import org.marjoramgw.wire.MessageCodec;
import org.marjoramgw.wire.PeerIdentity;
import org.marjoramgw.wire.PeerStatus;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that a link is closed and unused if the peer fails the handshake or sends another
 * message first.
 *
 * @author The marjoramgw authors
 */
public class SideLinkTests implements Connection {

	private static final String TOKEN = "deployment-token";

	private static final PeerStatus STATUS = new PeerStatus(1, false, 0, 0, 8);

	private static final Vm VM = new Vm("side-1", Vm.SIDE, "dal-a", "pool", "127.0.0.1:1", "127.0.0.1:2", Vm.LIVE);

	private final List<Message> sent = new ArrayList<>();

	private boolean closed;

	private ResultCounters counters;

	private SideLink link;

	@BeforeMethod
	public void connect() {
		this.sent.clear();
		this.closed = false;
		this.counters = new ResultCounters(new MetricRegistry());
		SideMessageDispatcher dispatcher = new SideMessageDispatcher(TOKEN, null, null, this.counters, null);
		this.link = new SideLink(VM, this, dispatcher, new ManualMillisClock(1_000), 1_000);
	}

	@DataProvider
	public Object[][] untrustedFirstMessages() {
		return new Object[][] { { hello(MessageCodec.VERSION, "wrong"), ResultCode.BAD_TOKEN },
				{ hello(MessageCodec.VERSION, ""), ResultCode.BAD_TOKEN },
				{ hello(MessageCodec.VERSION + 1, TOKEN), ResultCode.BAD_VERSION },
				{ new Message.Grant("r", 1, 100), ResultCode.BAD_FRAME },
				{ new Message.ConfigText(9, 1, "text"), ResultCode.BAD_FRAME },
				{ new Message.ConfigFetch(0), ResultCode.BAD_FRAME },
				{ new Message.Heartbeat(STATUS), ResultCode.BAD_FRAME } };
	}

	@Test(dataProvider = "untrustedFirstMessages")
	public void closesTheConnectionOfAnUntrustedSideAndGivesItNoWork(Message first, ResultCode code) {
		this.link.onMessage(first);
		Assert.assertTrue(this.closed);
		Assert.assertEquals(this.counters.countOf(code), 1);
		Assert.assertEquals(this.sent, List.of());
		Assert.assertFalse(this.link.isAvailable("pool"));
		Assert.assertFalse(this.link.isEstablished());
	}

	private static Message hello(int version, String token) {
		return new Message.Hello(version, token, new PeerIdentity("side-1", "side", "dal-a", 1, "pool"), STATUS);
	}

	@Override
	public void send(Message message) {
		this.sent.add(message);
	}

	@Override
	public void close() {
		this.closed = true;
	}

}
