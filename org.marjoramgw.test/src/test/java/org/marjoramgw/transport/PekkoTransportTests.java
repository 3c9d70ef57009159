package org.marjoramgw.transport;

import java.io.OutputStream;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.marjoramgw.HostPort;
import org.marjoramgw.ResultCode;
import org.marjoramgw.wire.Message;
import org.marjoramgw.wire.MessageCodec;
import org.testng.Assert;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * Tests {@link PekkoTransport} over loopback connections.
 *
 * @author The marjoramgw authors
 */
public class PekkoTransportTests {

	private static final int MAX_FRAME_BYTES = 1_024;

	private static final long TIMEOUT_MILLIS = 5_000;

	private static final int CLOSED_CONNECTION_COUNT = 2_000;

	private ActorSystem<Void> system;

	private PekkoTransport transport;

	@BeforeClass
	public void start() {
		this.system = ActorSystem.create(Behaviors.empty(), "transport-tests");
		this.transport = new PekkoTransport(this.system, new MessageCodec(), MAX_FRAME_BYTES, 16);
	}

	@AfterClass
	public void stop() {
		this.system.terminate();
	}

	@Test
	public void carriesMessagesInOrder() throws Exception {
		EventRecorder received = new EventRecorder();
		HostPort address = listen(received);
		EventRecorder client = new EventRecorder();
		this.transport.connect(address, client);
		client.connection().send(new Message.Cancel("a", 1));
		client.connection().send(new Message.Cancel("b", 1));
		Assert.assertEquals(received.next(), new Message.Cancel("a", 1));
		Assert.assertEquals(received.next(), new Message.Cancel("b", 1));
		client.connection().close();
		Assert.assertEquals(received.next(), ResultCode.PEER_CLOSED);
	}

	@Test
	public void reportsARefusedConnectAsAClose() throws Exception {
		EventRecorder client = new EventRecorder();
		this.transport.connect(new HostPort("127.0.0.1", 1), client);
		Assert.assertEquals(client.next(), ResultCode.PEER_CLOSED);
	}

	@Test
	public void closesOnlyTheConnectionWithABadFrame() throws Exception {
		EventRecorder received = new EventRecorder();
		HostPort address = listen(received);
		EventRecorder client = new EventRecorder();
		this.transport.connect(address, client);
		client.connection().send(new Message.Cancel("a", 1));
		Assert.assertEquals(received.next(), new Message.Cancel("a", 1));
		try (Socket socket = new Socket(address.host(), address.port())) {
			OutputStream out = socket.getOutputStream();
			out.write(new byte[] { 0, 0, 0, 2, 99, 99 });
			out.flush();
			Assert.assertEquals(received.next(), ResultCode.BAD_FRAME);
		}
		try (Socket socket = new Socket(address.host(), address.port())) {
			OutputStream out = socket.getOutputStream();
			out.write(new byte[] { 127, 0, 0, 2, 99, 99 });
			out.flush();
			Assert.assertEquals(received.next(), ResultCode.BAD_FRAME);
		}
		client.connection().send(new Message.Cancel("b", 1));
		Assert.assertEquals(received.next(), new Message.Cancel("b", 1));
	}

	/**
	 * Guards against a peer that counts as connected for good after its connection ended.
	 */
	@Test
	public void reportsEachConnectionClosedInsideAFrameAsPeerClosed() throws Exception {
		EventRecorder received = new EventRecorder();
		HostPort address = listen(received);
		for (int round = 0; round < CLOSED_CONNECTION_COUNT; round++) {
			try (Socket socket = new Socket(address.host(), address.port())) {
				socket.getOutputStream().write(new byte[] { 0, 0, 0, 9, 3 });
				socket.getOutputStream().flush();
			}
			Assert.assertEquals(received.next(), ResultCode.PEER_CLOSED, "connection " + round);
		}
	}

	private HostPort listen(ConnectionAcceptor acceptor) throws Exception {
		return this.transport.listen(new HostPort("127.0.0.1", 0), acceptor)
			.toCompletableFuture()
			.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
	}

	private static final class EventRecorder implements ConnectionAcceptor, ConnectionHandler {

		private final BlockingQueue<Object> events = new LinkedBlockingQueue<>();

		private volatile Connection connection;

		@Override
		public ConnectionHandler accept(Connection accepted) {
			this.connection = accepted;
			return this;
		}

		@Override
		public void onMessage(Message message) {
			this.events.add(message);
		}

		@Override
		public void onClosed(ResultCode reason) {
			this.events.add(reason);
		}

		Connection connection() {
			return this.connection;
		}

		Object next() throws InterruptedException {
			return this.events.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
		}

	}

}
