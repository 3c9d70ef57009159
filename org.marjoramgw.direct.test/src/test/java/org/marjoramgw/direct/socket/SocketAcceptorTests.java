package org.marjoramgw.direct.socket;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.apache.pekko.Done;
import org.apache.pekko.NotUsed;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;
import org.marjoramgw.HostPort;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests {@link SocketAcceptor}, {@link AcceptedSocket} and {@link SocketFlow} with raw
 * client sockets.
 *
 * @author The marjoramgw authors
 */
public class SocketAcceptorTests {

	private static final int LARGE_BYTES = 8 << 20;

	/** More than one read of the socket returns. */
	private static final int UNREAD_BYTES = 100 << 10;

	private static final int SINGLE_BYTES = 1_000;

	private final BlockingQueue<AcceptedSocket> accepted = new LinkedBlockingQueue<>();

	private AcceptorFixture fixture;

	@BeforeMethod
	public void start() throws IOException {
		this.accepted.clear();
		this.fixture = new AcceptorFixture();
	}

	@AfterMethod
	public void stop() {
		this.fixture.close();
	}

	@Test
	public void requestSentBeforeServeIsServed() throws Exception {
		try (Socket caller = this.fixture.connect()) {
			caller.getOutputStream().write("early".getBytes(StandardCharsets.US_ASCII));
			serveEcho();
			Assert.assertEquals(new String(caller.getInputStream().readNBytes(5), StandardCharsets.US_ASCII), "early");
		}
	}

	@Test
	public void endIsDetectedBeforeReceivedBytesAreTaken() throws Exception {
		this.fixture.acceptor().serve(this.accepted::add);
		Socket caller = this.fixture.connect();
		caller.getOutputStream().write("request".getBytes(StandardCharsets.US_ASCII));
		AcceptedSocket socket = nextAccepted();
		Assert.assertFalse(socket.hasEnded());
		CountDownLatch notified = new CountDownLatch(1);
		socket.whenEnded(notified::countDown);
		caller.close();
		Assert.assertTrue(notified.await(AcceptorFixture.WAIT_SECONDS, TimeUnit.SECONDS));
		Assert.assertTrue(socket.hasEnded());
		Assert.assertEquals(socket.take().utf8String(), "request");
		Assert.assertTrue(socket.isExhausted());
	}

	/**
	 * Guards against a caller that counts as present because one read returned bytes: its
	 * end stands behind them.
	 */
	@Test
	public void endBehindManyUnreadBytesIsDetected() throws Exception {
		this.fixture.acceptor().serve(this.accepted::add);
		Socket caller = this.fixture.connect();
		AcceptedSocket socket = nextAccepted();
		CountDownLatch checked = new CountDownLatch(1);
		this.fixture.acceptor().execute(() -> awaitQuietly(checked));
		caller.getOutputStream().write(new byte[UNREAD_BYTES]);
		caller.close();
		Thread.sleep(200);
		Assert.assertTrue(socket.hasEnded());
		checked.countDown();
	}

	/**
	 * Guards against a caller that occupies a multiple of the read-ahead buffer by
	 * sending single bytes.
	 */
	@Test
	public void bytesThatArriveSinglyAreKeptTogether() throws Exception {
		this.fixture.acceptor().serve(this.accepted::add);
		try (Socket caller = this.fixture.connect()) {
			caller.setTcpNoDelay(true);
			AcceptedSocket socket = nextAccepted();
			for (int sent = 1; sent <= SINGLE_BYTES; sent++) {
				caller.getOutputStream().write('x');
				while (socket.peek().size() < sent) {
					Thread.onSpinWait();
				}
			}
			AtomicInteger partCount = new AtomicInteger();
			socket.peek().getByteBuffers().forEach((part) -> partCount.incrementAndGet());
			Assert.assertTrue(partCount.get() < 5, partCount + " parts");
		}
	}

	@Test
	public void resetIsReportedAsEnd() throws Exception {
		this.fixture.acceptor().serve(this.accepted::add);
		Socket caller = this.fixture.connect();
		AcceptedSocket socket = nextAccepted();
		caller.setSoLinger(true, 0);
		caller.close();
		CountDownLatch notified = new CountDownLatch(1);
		socket.whenEnded(notified::countDown);
		Assert.assertTrue(notified.await(AcceptorFixture.WAIT_SECONDS, TimeUnit.SECONDS));
	}

	/** Guards against one failure that ends the reading thread of all connections. */
	@Test
	public void failureAtTheEndOfLingeringConnectionLeavesTheOthersServed() throws Exception {
		this.fixture.acceptor().serve(this.accepted::add);
		try (Socket lingering = this.fixture.connect()) {
			AcceptedSocket socket = nextAccepted();
			CountDownLatch ended = new CountDownLatch(1);
			socket.whenEnded(() -> {
				ended.countDown();
				throw new IllegalStateException("failure of the test");
			});
			socket.closeGracefully();
			Assert.assertTrue(ended.await(AcceptorFixture.WAIT_SECONDS, TimeUnit.SECONDS));
			Assert.assertEquals(lingering.getInputStream().read(), -1);
		}
		try (Socket caller = this.fixture.connect()) {
			Assert.assertTrue(caller.isConnected());
			Assert.assertNotNull(this.accepted.poll(AcceptorFixture.WAIT_SECONDS, TimeUnit.SECONDS));
		}
	}

	@Test
	public void largeResponseReachesSlowReader() throws Exception {
		ByteString response = ByteString.fromArray(new byte[LARGE_BYTES]);
		this.fixture.acceptor()
			.serve((socket) -> socket.flow()
				.join(Flow.fromSinkAndSource(Sink.ignore(), Source.single(response)))
				.run(this.fixture.system()));
		try (Socket caller = this.fixture.connect()) {
			Thread.sleep(200);
			Assert.assertEquals(caller.getInputStream().readAllBytes().length, LARGE_BYTES);
		}
	}

	@Test
	public void largeRequestIsReadCompletely() throws Exception {
		serveEcho();
		try (Socket caller = this.fixture.connect()) {
			byte[] request = new byte[LARGE_BYTES];
			Arrays.fill(request, (byte) 'x');
			Thread writer = new Thread(() -> write(caller, request));
			writer.start();
			Assert.assertEquals(caller.getInputStream().readNBytes(LARGE_BYTES), request);
			writer.join();
		}
	}

	@Test
	public void gracefulCloseEndsEvenIfPeerKeepsConnectionOpen() throws Exception {
		this.fixture.acceptor().serve(this.accepted::add);
		try (Socket caller = this.fixture.connect()) {
			AcceptedSocket socket = nextAccepted();
			socket.closeGracefully();
			Assert.assertEquals(caller.getInputStream().read(), -1);
			CountDownLatch notified = new CountDownLatch(1);
			socket.whenEnded(notified::countDown);
			Assert.assertTrue(notified.await(AcceptorFixture.WAIT_SECONDS, TimeUnit.SECONDS));
			Assert.assertFalse(socket.isOpen());
		}
	}

	@Test
	public void failedResponseClosesConnection() throws Exception {
		this.fixture.acceptor()
			.serve((socket) -> socket.flow()
				.join(Flow.fromSinkAndSource(Sink.ignore(),
						Source.failed(new IOException("backend server closed the connection"))))
				.run(this.fixture.system()));
		try (Socket caller = this.fixture.connect()) {
			Assert.assertTrue(awaitClosed(caller));
		}
	}

	@Test
	public void acceptedConnectionsSurviveStopAccepting() throws Exception {
		serveEcho();
		try (Socket caller = this.fixture.connect()) {
			caller.getOutputStream().write('a');
			Assert.assertEquals(caller.getInputStream().read(), 'a');
			HostPort address = this.fixture.acceptor().address();
			this.fixture.acceptor().stopAccepting();
			Assert.assertTrue(awaitRefused(address));
			caller.getOutputStream().write('b');
			Assert.assertEquals(caller.getInputStream().read(), 'b');
		}
	}

	@Test
	public void flowEndsWhenPeerDisconnectsDuringResponse() throws Exception {
		CompletableFuture<Done> flowEnded = new CompletableFuture<>();
		CountDownLatch offered = new CountDownLatch(1);
		ByteString response = ByteString.fromArray(new byte[LARGE_BYTES]);
		Source<ByteString, NotUsed> responses = Source.repeat(response).take(2).map((bytes) -> {
			offered.countDown();
			return bytes;
		});
		this.fixture.acceptor()
			.serve((socket) -> socket.flow()
				.join(Flow.fromSinkAndSource(Sink.ignore(), responses.watchTermination((ignored, done) -> {
					done.thenAccept(flowEnded::complete).exceptionally((ex) -> {
						flowEnded.complete(Done.done());
						return null;
					});
					return ignored;
				})))
				.run(this.fixture.system()));
		Socket caller = this.fixture.connect();
		caller.setSoLinger(true, 0);
		Assert.assertTrue(offered.await(AcceptorFixture.WAIT_SECONDS, TimeUnit.SECONDS));
		Thread.sleep(200);
		caller.close();
		flowEnded.get(AcceptorFixture.WAIT_SECONDS, TimeUnit.SECONDS);
	}

	@Test
	public void pendingWriteIsNotifiedWhenConnectionCloses() throws Exception {
		this.fixture.acceptor().serve(this.accepted::add);
		Socket caller = this.fixture.connect();
		AcceptedSocket socket = nextAccepted();
		CountDownLatch notified = new CountDownLatch(1);
		Assert.assertFalse(socket.write(ByteString.fromArray(new byte[LARGE_BYTES]), notified::countDown));
		caller.setSoLinger(true, 0);
		caller.close();
		Assert.assertTrue(notified.await(AcceptorFixture.WAIT_SECONDS, TimeUnit.SECONDS));
	}

	@Test
	public void pendingWriteIsNotifiedOnGracefulClose() throws Exception {
		this.fixture.acceptor().serve(this.accepted::add);
		try (Socket caller = this.fixture.connect()) {
			AcceptedSocket socket = nextAccepted();
			CountDownLatch notified = new CountDownLatch(1);
			Assert.assertFalse(socket.write(ByteString.fromArray(new byte[LARGE_BYTES]), notified::countDown));
			socket.closeGracefully();
			Assert.assertTrue(notified.await(AcceptorFixture.WAIT_SECONDS, TimeUnit.SECONDS));
		}
	}

	@Test
	public void failureOnOneSocketDoesNotAffectOthers() throws Exception {
		this.fixture.acceptor().serve(this.accepted::add);
		try (Socket failing = this.fixture.connect(); Socket other = this.fixture.connect()) {
			nextAccepted().whenReceived(() -> {
				throw new IllegalStateException("action fails");
			});
			CountDownLatch notified = new CountDownLatch(1);
			nextAccepted().whenReceived(notified::countDown);
			failing.getOutputStream().write('a');
			Thread.sleep(200);
			other.getOutputStream().write('b');
			Assert.assertTrue(notified.await(AcceptorFixture.WAIT_SECONDS, TimeUnit.SECONDS));
			try (Socket later = this.fixture.connect()) {
				nextAccepted();
			}
		}
	}

	@Test
	public void callbacksRunWithoutSocketLock() throws Exception {
		this.fixture.acceptor().serve(this.accepted::add);
		Socket caller = this.fixture.connect();
		caller.setReceiveBufferSize(1);
		AcceptedSocket socket = nextAccepted();
		CountDownLatch notified = new CountDownLatch(1);
		socket.whenEnded(() -> {
			Assert.assertFalse(Thread.holdsLock(socket));
			notified.countDown();
		});
		socket.write(ByteString.fromArray(new byte[LARGE_BYTES]), () -> {
		});
		caller.setSoLinger(true, 0);
		caller.close();
		Assert.assertTrue(notified.await(AcceptorFixture.WAIT_SECONDS, TimeUnit.SECONDS));
	}

	@Test
	public void connectionEndedBeforeOpeningIsClosed() throws Exception {
		this.fixture.acceptor().serve(this.accepted::add);
		Socket caller = this.fixture.connect();
		AcceptedSocket socket = nextAccepted();
		CountDownLatch closed = new CountDownLatch(1);
		socket.whenEnded(() -> {
			socket.closeIfUnused();
			closed.countDown();
		});
		caller.close();
		Assert.assertTrue(closed.await(AcceptorFixture.WAIT_SECONDS, TimeUnit.SECONDS));
		Assert.assertFalse(socket.isOpen());
	}

	private void serveEcho() {
		this.fixture.acceptor()
			.serve((socket) -> socket.flow().join(Flow.<ByteString>create()).run(this.fixture.system()));
	}

	private AcceptedSocket nextAccepted() throws InterruptedException {
		AcceptedSocket socket = this.accepted.poll(AcceptorFixture.WAIT_SECONDS, TimeUnit.SECONDS);
		Assert.assertNotNull(socket);
		return socket;
	}

	private static void awaitQuietly(CountDownLatch latch) {
		try {
			latch.await(AcceptorFixture.WAIT_SECONDS, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static boolean awaitClosed(Socket caller) throws IOException {
		try {
			return caller.getInputStream().read() < 0;
		}
		catch (SocketException ex) {
			return true;
		}
	}

	private static boolean awaitRefused(HostPort address) throws InterruptedException {
		for (int attempt = 0; attempt < 100; attempt++) {
			try (Socket refused = new Socket(address.host(), address.port())) {
				Thread.sleep(20);
			}
			catch (IOException ex) {
				return true;
			}
		}
		return false;
	}

	private static void write(Socket socket, byte[] bytes) {
		try {
			socket.getOutputStream().write(bytes);
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
