package org.marjoramgw.standin.proxy;

import java.io.IOException;
import java.net.BindException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;

import org.marjoramgw.HostPort;
import org.marjoramgw.settings.TomlTable;
import org.marjoramgw.standin.StandinSystem;
import org.testng.Assert;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * Tests each fault of {@link ProxyStandin} against an echo server.
 *
 * @author The marjoramgw authors
 */
public class ProxyStandinTests {

	private static final int ROUNDS = 200;

	private static final int READ_TIMEOUT_MILLIS = 300;

	private static final int TIMEOUT_MILLIS = 5_000;

	private StandinSystem system;

	private ProxyStandin proxy;

	private ServerSocket target;

	private Link link;

	@BeforeClass
	public void start() throws Exception {
		this.system = new StandinSystem();
		this.proxy = ProxyStandin.start(this.system, ProxySettings.read(TomlTable.ofText("proxy", "")));
		this.target = new ServerSocket(0);
		Threads.start("echo", this::accept);
		this.link = this.proxy.addLink("echo", new HostPort("127.0.0.1", this.target.getLocalPort()));
	}

	@AfterClass
	public void stop() throws Exception {
		this.proxy.close();
		this.target.close();
		this.system.close();
	}

	@Test
	public void forwardsBytes() throws Exception {
		try (Socket socket = connect()) {
			Assert.assertEquals(echo(socket, 'a'), 'a');
		}
	}

	@Test
	public void dropsBytesOfOpenConnectionsOnly() throws Exception {
		try (Socket existing = connect()) {
			Assert.assertEquals(echo(existing, 'a'), 'a');
			this.link.control(new LinkControl(null, null, true, null, null));
			Assert.assertThrows(SocketTimeoutException.class, () -> echo(existing, 'b'));
			try (Socket newSocket = connect()) {
				Assert.assertEquals(echo(newSocket, 'c'), 'c');
			}
		}
	}

	@Test
	public void dropsBytesOfNewConnectionsToo() throws Exception {
		this.link.control(LinkControl.of(LinkMode.SWALLOW));
		try (Socket socket = connect()) {
			Assert.assertThrows(SocketTimeoutException.class, () -> echo(socket, 'a'));
		}
		finally {
			this.link.control(LinkControl.of(LinkMode.PASS));
		}
	}

	@Test
	public void closesConnectionsAndKeepsAccepting() throws Exception {
		try (Socket existing = connect()) {
			echo(existing, 'a');
			this.link.control(LinkControl.of(LinkMode.CUT));
			Assert.assertTrue(isClosed(existing));
			try (Socket newSocket = connect()) {
				Assert.assertEquals(echo(newSocket, 'b'), 'b');
			}
		}
	}

	@Test
	public void refusesAndListensAgainOnItsAddress() throws Exception {
		this.link.control(LinkControl.of(LinkMode.REFUSE));
		Assert.assertThrows(ConnectException.class, this::connect);
		Assert.assertThrows(BindException.class, () -> listenAt(this.link.address()));
		this.link.control(LinkControl.of(LinkMode.PASS));
		try (Socket socket = connect()) {
			Assert.assertEquals(echo(socket, 'a'), 'a');
		}
	}

	@Test
	public void refusesImmediatelyInEveryRound() throws Exception {
		for (int round = 0; round < ROUNDS; round++) {
			this.link.control(LinkControl.of(LinkMode.REFUSE));
			Assert.assertThrows(ConnectException.class, this::connect);
			this.link.control(LinkControl.of(LinkMode.PASS));
			connect().close();
		}
	}

	@Test
	public void closesConnectionAfterByteLimit() throws Exception {
		try (Socket socket = connect()) {
			this.link.control(new LinkControl(null, null, null, 3L, null));
			Assert.assertEquals(echo(socket, 'a'), 'a');
			Assert.assertEquals(echo(socket, 'b'), 'b');
			socket.getOutputStream().write('c');
			Assert.assertTrue(isClosed(socket));
		}
	}

	@Test
	public void closesConnectionWithGapWhenAnotherClearsTheLimit() {
		ByteLimit limit = new ByteLimit();
		limit.set(3);
		int forwarded = limit.consume(5);
		Assert.assertEquals(forwarded, 3);
		Assert.assertEquals(limit.consume(4), 0);
		Assert.assertTrue(limit.mustCloseAfter(4, 0));
		limit.clear();
		Assert.assertTrue(limit.mustCloseAfter(5, forwarded));
		Assert.assertFalse(limit.mustCloseAfter(4, limit.consume(4)));
	}

	private static void listenAt(HostPort address) throws IOException {
		try (ServerSocket other = new ServerSocket()) {
			other.setReuseAddress(false);
			other.bind(new InetSocketAddress(address.host(), address.port()));
		}
	}

	private void accept() {
		while (!this.target.isClosed()) {
			try {
				Socket socket = this.target.accept();
				Threads.start("echo", () -> echoAll(socket));
			}
			catch (IOException ex) {
				// The server socket was closed at the end of the test
			}
		}
	}

	private static void echoAll(Socket socket) {
		try (socket) {
			socket.getInputStream().transferTo(socket.getOutputStream());
		}
		catch (IOException ex) {
			// The proxy closed the connection
		}
	}

	private Socket connect() throws IOException {
		HostPort address = this.link.address();
		Socket socket = new Socket(address.host(), address.port());
		socket.setSoTimeout(READ_TIMEOUT_MILLIS);
		return socket;
	}

	private static int echo(Socket socket, int value) throws IOException {
		socket.getOutputStream().write(value);
		return socket.getInputStream().read();
	}

	private static boolean isClosed(Socket socket) throws IOException {
		socket.setSoTimeout(TIMEOUT_MILLIS);
		try {
			int next = socket.getInputStream().read();
			return next < 0 || socket.getInputStream().read() < 0;
		}
		catch (java.net.SocketException ex) {
			return true;
		}
	}

}
