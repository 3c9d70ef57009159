package org.marjoramgw.direct.socket;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.TimeUnit;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.marjoramgw.HostPort;
import org.marjoramgw.SystemMillisClock;
import org.marjoramgw.program.Pause;
import org.marjoramgw.time.AgeClock;
import org.testng.Assert;

/**
 * Acceptor on a free loopback port, with an actor system to run its flows.
 *
 * @author The marjoramgw authors
 */
public final class AcceptorFixture implements AutoCloseable {

	/** Timeout for events that a test expects. */
	public static final int WAIT_SECONDS = 10;

	private static final long POLL_MILLIS = 5;

	private final ActorSystem<Void> system = ActorSystem.create(Behaviors.empty(), "sockets");

	private final SocketAcceptor acceptor;

	/**
	 * Starts listening.
	 * @throws IOException if no port can be bound
	 */
	public AcceptorFixture() throws IOException {
		this.acceptor = SocketAcceptor.bind(new HostPort("127.0.0.1", 0),
				new AgeClock(new SystemMillisClock(), System::currentTimeMillis));
	}

	/**
	 * Returns the actor system.
	 * @return the actor system
	 */
	public ActorSystem<Void> system() {
		return this.system;
	}

	/**
	 * Returns the acceptor.
	 * @return the acceptor
	 */
	public SocketAcceptor acceptor() {
		return this.acceptor;
	}

	/**
	 * Connects as a caller.
	 * @return the caller's socket, with the timeout {@link #WAIT_SECONDS} for reads
	 * @throws IOException if it can't connect
	 */
	public Socket connect() throws IOException {
		Socket caller = new Socket("127.0.0.1", this.acceptor.address().port());
		caller.setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
		return caller;
	}

	/**
	 * Waits until the acceptor has accepted connections and read what they sent.
	 * @param connections number of connections since the start
	 * @param bytes number of bytes that they sent
	 */
	public void awaitRead(int connections, long bytes) {
		long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
		while (this.acceptor.acceptedCount() < connections || this.acceptor.receivedBytes() < bytes) {
			Assert.assertTrue(System.nanoTime() < endNanos, "accepted " + this.acceptor.acceptedCount() + " of "
					+ connections + ", read " + this.acceptor.receivedBytes() + " of " + bytes + " bytes");
			Pause.millis(POLL_MILLIS);
		}
	}

	@Override
	public void close() {
		this.acceptor.close();
		this.system.terminate();
	}

}
