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
 * Tests {@link SocketAcceptor}, {@link AcceptedSocket} and {@link SocketFlow} between raw
 * sockets.
 *
 * @author The marjoramgw authors
 */
public class SocketAcceptorTests {

	private static final int LARGE_BYTES = 8 << 20;

	private final BlockingQueue<AcceptedSocket> accepted = new LinkedBlockingQueue<>();

	private AcceptorBed bed;

	@BeforeMethod
	public void start() throws IOException {
		this.accepted.clear();
		this.bed = new AcceptorBed();
	}

	@AfterMethod
	public void stop() {
		this.bed.close();
	}

	@Test
	public void requestSentBeforeTheProcessServesIsServedThen() throws Exception {
		try (Socket caller = this.bed.connect()) {
			caller.getOutputStream().write("early".getBytes(StandardCharsets.US_ASCII));
			serveEcho();
			Assert.assertEquals(new String(caller.getInputStream().readNBytes(5), StandardCharsets.US_ASCII), "early");
		}
	}

	@Test
	public void endIsKnownAtOnceThoughNobodyTookWhatCameBefore() throws Exception {
		this.bed.acceptor().serve(this.accepted::add);
		Socket caller = this.bed.connect();
		caller.getOutputStream().write("request".getBytes(StandardCharsets.US_ASCII));
		AcceptedSocket socket = next();
		Assert.assertFalse(socket.hasEnded());
		CountDownLatch told = new CountDownLatch(1);
		socket.whenEnded(told::countDown);
		caller.close();
		Assert.assertTrue(told.await(AcceptorBed.WAIT_SECONDS, TimeUnit.SECONDS));
		Assert.assertTrue(socket.hasEnded());
		Assert.assertEquals(socket.take().utf8String(), "request");
		Assert.assertTrue(socket.isExhausted());
	}

	@Test
	public void resetCountsAsEnd() throws Exception {
		this.bed.acceptor().serve(this.accepted::add);
		Socket caller = this.bed.connect();
		AcceptedSocket socket = next();
		caller.setSoLinger(true, 0);
		caller.close();
		CountDownLatch told = new CountDownLatch(1);
		socket.whenEnded(told::countDown);
		Assert.assertTrue(told.await(AcceptorBed.WAIT_SECONDS, TimeUnit.SECONDS));
	}

	@Test
	public void largeAnswerReachesACallerThatReadsLate() throws Exception {
		ByteString answer = ByteString.fromArray(new byte[LARGE_BYTES]);
		this.bed.acceptor()
			.serve((socket) -> socket.flow()
				.join(Flow.fromSinkAndSource(Sink.ignore(), Source.single(answer)))
				.run(this.bed.system()));
		try (Socket caller = this.bed.connect()) {
			Thread.sleep(200);
			Assert.assertEquals(caller.getInputStream().readAllBytes().length, LARGE_BYTES);
		}
	}

	@Test
	public void largeRequestIsReadWhole() throws Exception {
		serveEcho();
		try (Socket caller = this.bed.connect()) {
			byte[] request = new byte[LARGE_BYTES];
			Arrays.fill(request, (byte) 'x');
			Thread writer = new Thread(() -> write(caller, request));
			writer.start();
			Assert.assertEquals(caller.getInputStream().readNBytes(LARGE_BYTES), request);
			writer.join();
		}
	}

	@Test
	public void finishedConnectionEndsAlthoughItsPeerKeepsItOpen() throws Exception {
		this.bed.acceptor().serve(this.accepted::add);
		try (Socket caller = this.bed.connect()) {
			AcceptedSocket socket = next();
			socket.finish();
			Assert.assertEquals(caller.getInputStream().read(), -1);
			CountDownLatch told = new CountDownLatch(1);
			socket.whenEnded(told::countDown);
			Assert.assertTrue(told.await(AcceptorBed.WAIT_SECONDS, TimeUnit.SECONDS));
			Assert.assertFalse(socket.isOpen());
		}
	}

	@Test
	public void brokenAnswerEndsTheConnection() throws Exception {
		this.bed.acceptor()
			.serve((socket) -> socket.flow()
				.join(Flow.fromSinkAndSource(Sink.ignore(), Source.failed(new IOException("backend server broke off"))))
				.run(this.bed.system()));
		try (Socket caller = this.bed.connect()) {
			Assert.assertTrue(endsSoon(caller));
		}
	}

	@Test
	public void acceptedConnectionsGoOnWhenListeningEnds() throws Exception {
		serveEcho();
		try (Socket caller = this.bed.connect()) {
			caller.getOutputStream().write('a');
			Assert.assertEquals(caller.getInputStream().read(), 'a');
			HostPort address = this.bed.acceptor().address();
			this.bed.acceptor().stopAccepting();
			Assert.assertTrue(refusesSoon(address));
			caller.getOutputStream().write('b');
			Assert.assertEquals(caller.getInputStream().read(), 'b');
		}
	}

	@Test
	public void flowEndsWhenItsPeerLeavesInTheMiddleOfAnAnswer() throws Exception {
		CompletableFuture<Done> flowEnded = new CompletableFuture<>();
		CountDownLatch offered = new CountDownLatch(1);
		ByteString answer = ByteString.fromArray(new byte[LARGE_BYTES]);
		Source<ByteString, NotUsed> answers = Source.repeat(answer).take(2).map((bytes) -> {
			offered.countDown();
			return bytes;
		});
		this.bed.acceptor()
			.serve((socket) -> socket.flow()
				.join(Flow.fromSinkAndSource(Sink.ignore(), answers.watchTermination((ignored, done) -> {
					done.thenAccept(flowEnded::complete).exceptionally((ex) -> {
						flowEnded.complete(Done.done());
						return null;
					});
					return ignored;
				})))
				.run(this.bed.system()));
		Socket caller = this.bed.connect();
		caller.setSoLinger(true, 0);
		Assert.assertTrue(offered.await(AcceptorBed.WAIT_SECONDS, TimeUnit.SECONDS));
		Thread.sleep(200);
		caller.close();
		flowEnded.get(AcceptorBed.WAIT_SECONDS, TimeUnit.SECONDS);
	}

	@Test
	public void unfinishedWriteIsToldWhenTheConnectionCloses() throws Exception {
		this.bed.acceptor().serve(this.accepted::add);
		Socket caller = this.bed.connect();
		AcceptedSocket socket = next();
		CountDownLatch told = new CountDownLatch(1);
		Assert.assertFalse(socket.write(ByteString.fromArray(new byte[LARGE_BYTES]), told::countDown));
		caller.setSoLinger(true, 0);
		caller.close();
		Assert.assertTrue(told.await(AcceptorBed.WAIT_SECONDS, TimeUnit.SECONDS));
	}

	@Test
	public void unfinishedWriteIsToldWhenItsOwnSideFinishes() throws Exception {
		this.bed.acceptor().serve(this.accepted::add);
		try (Socket caller = this.bed.connect()) {
			AcceptedSocket socket = next();
			CountDownLatch told = new CountDownLatch(1);
			Assert.assertFalse(socket.write(ByteString.fromArray(new byte[LARGE_BYTES]), told::countDown));
			socket.finish();
			Assert.assertTrue(told.await(AcceptorBed.WAIT_SECONDS, TimeUnit.SECONDS));
		}
	}

	@Test
	public void failureOfOneSocketLeavesTheOthers() throws Exception {
		this.bed.acceptor().serve(this.accepted::add);
		try (Socket failing = this.bed.connect(); Socket other = this.bed.connect()) {
			next().whenReceived(() -> {
				throw new IllegalStateException("action fails");
			});
			CountDownLatch told = new CountDownLatch(1);
			next().whenReceived(told::countDown);
			failing.getOutputStream().write('a');
			Thread.sleep(200);
			other.getOutputStream().write('b');
			Assert.assertTrue(told.await(AcceptorBed.WAIT_SECONDS, TimeUnit.SECONDS));
			try (Socket later = this.bed.connect()) {
				next();
			}
		}
	}

	@Test
	public void actionsAreTakenWithoutALockOfTheSocket() throws Exception {
		this.bed.acceptor().serve(this.accepted::add);
		Socket caller = this.bed.connect();
		caller.setReceiveBufferSize(1);
		AcceptedSocket socket = next();
		CountDownLatch told = new CountDownLatch(1);
		socket.whenEnded(() -> {
			Assert.assertFalse(Thread.holdsLock(socket));
			told.countDown();
		});
		socket.write(ByteString.fromArray(new byte[LARGE_BYTES]), () -> {
		});
		caller.setSoLinger(true, 0);
		caller.close();
		Assert.assertTrue(told.await(AcceptorBed.WAIT_SECONDS, TimeUnit.SECONDS));
	}

	@Test
	public void connectionThatEndsBeforeItIsOpenedIsClosed() throws Exception {
		this.bed.acceptor().serve(this.accepted::add);
		Socket caller = this.bed.connect();
		AcceptedSocket socket = next();
		CountDownLatch closed = new CountDownLatch(1);
		socket.whenEnded(() -> {
			socket.finishIfUnused();
			closed.countDown();
		});
		caller.close();
		Assert.assertTrue(closed.await(AcceptorBed.WAIT_SECONDS, TimeUnit.SECONDS));
		Assert.assertFalse(socket.isOpen());
	}

	private void serveEcho() {
		this.bed.acceptor().serve((socket) -> socket.flow().join(Flow.<ByteString>create()).run(this.bed.system()));
	}

	private AcceptedSocket next() throws InterruptedException {
		AcceptedSocket socket = this.accepted.poll(AcceptorBed.WAIT_SECONDS, TimeUnit.SECONDS);
		Assert.assertNotNull(socket);
		return socket;
	}

	private static boolean endsSoon(Socket caller) throws IOException {
		try {
			return caller.getInputStream().read() < 0;
		}
		catch (SocketException ex) {
			return true;
		}
	}

	private static boolean refusesSoon(HostPort address) throws InterruptedException {
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
