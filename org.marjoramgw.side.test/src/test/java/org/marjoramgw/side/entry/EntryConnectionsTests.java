package org.marjoramgw.side.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import com.codahale.metrics.MetricRegistry;
import org.marjoramgw.ManualMillisClock;
import org.marjoramgw.ResultCode;
import org.marjoramgw.config.Configuration;
import org.marjoramgw.config.ConfigurationSource;
import org.marjoramgw.metrics.ResultCounters;
import org.marjoramgw.side.scheduler.SchedulerCommand;
import org.marjoramgw.transport.Connection;
import org.marjoramgw.transport.ConnectionHandler;
import org.marjoramgw.wire.Message;
import org.marjoramgw.wire.MessageCodec;
import org.marjoramgw.wire.PeerIdentity;
import org.marjoramgw.wire.PeerStatus;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Contract tests of {@link EntryConnections}: hello checks, heartbeats, timeouts and
 * exchange of configuration revisions.
 *
 * @author The marjoramgw authors
 */
public class EntryConnectionsTests implements Connection, ConfigurationSource {

	private static final String TOKEN = "token";

	private static final PeerIdentity ENTRY = new PeerIdentity("entry", "entry", "dal-a", 7, "");

	private static final PeerStatus IDLE = new PeerStatus(5, false, 0, 0, 0);

	private final ManualMillisClock clock = new ManualMillisClock(1_000);

	private final List<Message> sent = new ArrayList<>();

	private final List<SchedulerCommand> commands = new ArrayList<>();

	private final List<Message.ConfigText> offeredTexts = new ArrayList<>();

	private boolean closed;

	private ResultCounters counters;

	private EntryConnections connections;

	private ConnectionHandler handler;

	@BeforeMethod
	public void connect() {
		this.sent.clear();
		this.commands.clear();
		this.offeredTexts.clear();
		this.closed = false;
		this.counters = new ResultCounters(new MetricRegistry());
		this.connections = new EntryConnections(this.clock, new PeerIdentity("side", "side", "dal-a", 1, "pool"), TOKEN,
				new HeartbeatIntervals(250, 1_000, 30_000), () -> IDLE, this, this.commands::add, this.counters);
		this.handler = this.connections.accept(this);
	}

	@DataProvider
	public Object[][] hellos() {
		return new Object[][] { { "valid", new Message.Hello(MessageCodec.VERSION, TOKEN, ENTRY, IDLE), null },
				{ "wrong token", new Message.Hello(MessageCodec.VERSION, "x", ENTRY, IDLE), ResultCode.BAD_TOKEN },
				{ "wrong version", new Message.Hello(99, TOKEN, ENTRY, IDLE), ResultCode.BAD_VERSION },
				{ "no hello", new Message.Cancel("r", 1), ResultCode.BAD_TOKEN } };
	}

	@Test(dataProvider = "hellos")
	public void checksHello(String name, Message first, ResultCode refusal) {
		this.handler.onMessage(first);
		this.handler.onMessage(new Message.Cancel("r", 1));
		if (refusal == null) {
			Assert.assertTrue(this.sent.get(0) instanceof Message.Hello, name);
			Assert.assertEquals(this.commands.size(), 2, name + ": connected, then the message");
		}
		else {
			Assert.assertEquals(this.sent, List.of(new Message.Goodbye(refusal.number())), name);
			Assert.assertEquals(this.commands, List.of(), name + ": no command is sent");
			Assert.assertEquals(this.counters.countOf(refusal), 1, name);
		}
		Assert.assertEquals(this.closed, refusal != null, name);
	}

	@Test
	public void closesConnectionThatSendsNoHello() {
		this.clock.advanceMillis(30_000);
		this.connections.sendHeartbeats(true);
		Assert.assertFalse(this.closed);
		this.clock.advanceMillis(1);
		this.connections.sendHeartbeats(true);
		Assert.assertTrue(this.closed);
		Assert.assertEquals(this.sent, List.of());
		Assert.assertEquals(this.commands, List.of());
		Assert.assertEquals(this.counters.countOf(ResultCode.PEER_SILENT), 1);
	}

	@Test
	public void closesConnectionsOverLimit() {
		for (int count = 1; count < EntryConnections.MAX_CONNECTIONS; count++) {
			this.connections.accept(this);
		}
		Assert.assertFalse(this.closed);
		this.connections.accept(this);
		Assert.assertTrue(this.closed);
	}

	@Test
	public void closesSilentConnectionAndReportsItOnce() {
		sendHello();
		this.clock.advanceMillis(900);
		this.connections.sendHeartbeats(false);
		Assert.assertFalse(this.closed);
		this.clock.advanceMillis(30_000);
		this.connections.sendHeartbeats(false);
		Assert.assertTrue(this.closed);
		this.handler.onClosed(ResultCode.PEER_CLOSED);
		long disconnectCount = this.commands.stream()
			.filter(SchedulerCommand.EntryDisconnected.class::isInstance)
			.count();
		Assert.assertEquals(disconnectCount, 1);
	}

	@Test
	public void repliesWhileIdleAndSendsHeartbeatsWhileBusy() {
		sendHello();
		this.clock.advanceMillis(8_000);
		this.sent.clear();
		this.connections.sendHeartbeats(false);
		Assert.assertEquals(this.sent, List.of(), "no unsolicited heartbeat while idle");
		this.handler.onMessage(new Message.Heartbeat(IDLE));
		this.handler.onMessage(new Message.Heartbeat(IDLE));
		Assert.assertEquals(this.sent, List.of(new Message.Heartbeat(IDLE)),
				"one reply within half the heartbeat interval");
		this.clock.advanceMillis(8_000);
		this.handler.onMessage(new Message.Cancel("r", 1));
		Assert.assertEquals(this.sent.size(), 2,
				"the first work message after idling is answered with a heartbeat at once");
		this.clock.advanceMillis(900);
		this.connections.sendHeartbeats(false);
		Assert.assertEquals(this.sent.size(), 3);
		Assert.assertFalse(this.closed, "less than the busy timeout has passed");
		this.clock.advanceMillis(1_100);
		((EntryConnection) this.handler).setOpenRequests(true);
		this.connections.sendHeartbeats(false);
		Assert.assertEquals(this.sent.size(), 4, "heartbeats are sent while requests are open");
	}

	@Test
	public void closesBusyConnectionAfterTimeout() {
		sendHello();
		for (int step = 0; step < 6; step++) {
			this.clock.advanceMillis(200);
			((EntryConnection) this.handler).send(new Message.Grant("r", 1, 100));
		}
		this.connections.sendHeartbeats(false);
		Assert.assertTrue(this.closed);
	}

	@Test
	public void exchangesConfigurationRevisions() {
		sendHello();
		this.handler.onMessage(new Message.Heartbeat(new PeerStatus(9, false, 0, 0, 0)));
		Assert.assertEquals(this.sent.get(this.sent.size() - 1), new Message.ConfigFetch(5));
		Message.ConfigText newer = new Message.ConfigText(9, 1, "text");
		this.handler.onMessage(newer);
		Assert.assertEquals(this.offeredTexts, List.of(newer));
		this.handler.onMessage(new Message.ConfigFetch(4));
		Assert.assertEquals(this.sent.get(this.sent.size() - 1), currentText().orElseThrow());
		int count = this.sent.size();
		this.handler.onMessage(new Message.ConfigFetch(5));
		Assert.assertEquals(this.sent.size(), count, "the peer already has this revision");
	}

	private void sendHello() {
		this.handler.onMessage(new Message.Hello(MessageCodec.VERSION, TOKEN, ENTRY, IDLE));
	}

	@Override
	public void send(Message message) {
		this.sent.add(message);
	}

	@Override
	public void close() {
		this.closed = true;
	}

	@Override
	public Optional<Configuration> current() {
		return Optional.empty();
	}

	@Override
	public Optional<Message.ConfigText> currentText() {
		return Optional.of(new Message.ConfigText(5, 1, "own"));
	}

	@Override
	public void offerFromPeer(Message.ConfigText text) {
		this.offeredTexts.add(text);
	}

	@Override
	public void addListener(Consumer<Configuration> listener) {
		// not used
	}

}
