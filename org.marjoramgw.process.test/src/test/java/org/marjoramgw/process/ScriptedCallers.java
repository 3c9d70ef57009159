package org.marjoramgw.process;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

import org.marjoramgw.HostPort;

/**
 * Connections that send a script each and stay open. All are served by the calling thread
 * without blocking, so that a peer that stops reading doesn't stop the others.
 *
 * @author The marjoramgw authors
 */
final class ScriptedCallers implements AutoCloseable {

	/** Small, so that a caller that doesn't read fills its side quickly. */
	private static final int RECEIVE_BUFFER_BYTES = 4_096;

	/**
	 * Time without any byte sent after which the peer is taken to have stopped reading.
	 */
	private static final long QUIET_NANOS = 2_000_000_000L;

	/** Limit on the whole time of sending, for a peer that reads slowly. */
	private static final long MAX_SEND_NANOS = 40_000_000_000L;

	private static final long POLL_MILLIS = 5;

	private final ByteBuffer discarded = ByteBuffer.allocate(65_536);

	private final List<Caller> callers = new ArrayList<>();

	private final CallerScript script;

	private ScriptedCallers(CallerScript script) {
		this.script = script;
	}

	/**
	 * Opens connections without sending anything. A connection that the peer doesn't take
	 * counts as closed.
	 * @param address address of the peer
	 * @param count number of connections
	 * @param script what each connection sends
	 * @return the connections
	 * @throws IOException if a socket can't be created
	 */
	static ScriptedCallers open(HostPort address, int count, CallerScript script) throws IOException {
		ScriptedCallers opened = new ScriptedCallers(script);
		for (int number = 0; number < count; number++) {
			SocketChannel channel = SocketChannel.open();
			channel.configureBlocking(false);
			channel.setOption(StandardSocketOptions.SO_RCVBUF, RECEIVE_BUFFER_BYTES);
			channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
			channel.connect(new InetSocketAddress(address.host(), address.port()));
			opened.callers.add(opened.new Caller(channel));
		}
		return opened;
	}

	/**
	 * Connects and sends the scripts until nothing moves any more: all are sent, or the
	 * peer doesn't accept or read. The quiet time at the end gives the peer time to take
	 * up what waits in its sockets.
	 * @throws InterruptedException if the thread is interrupted
	 */
	void send() throws InterruptedException {
		long startNanos = System.nanoTime();
		long progressNanos = startNanos;
		while (System.nanoTime() - progressNanos < QUIET_NANOS && System.nanoTime() - startNanos < MAX_SEND_NANOS) {
			boolean progress = false;
			for (Caller caller : this.callers) {
				progress |= caller.step();
			}
			if (progress) {
				progressNanos = System.nanoTime();
			}
			if (!progress || this.script.pauseMillis() > 0) {
				Thread.sleep(Math.max(POLL_MILLIS, this.script.pauseMillis()));
			}
		}
	}

	/**
	 * Sends one more piece on each connection.
	 */
	void sendPiece() {
		this.callers.forEach(Caller::step);
	}

	/**
	 * Counts the connections that the peer hasn't closed, after it has read what arrived.
	 * @return number of open connections
	 */
	long openCount() {
		this.callers.forEach(Caller::discardInput);
		return this.callers.stream().filter((caller) -> caller.channel.isOpen()).count();
	}

	@Override
	public void close() {
		this.callers.forEach(Caller::close);
	}

	/**
	 * One connection.
	 */
	private final class Caller {

		private final SocketChannel channel;

		private long sentBytes;

		Caller(SocketChannel channel) {
			this.channel = channel;
		}

		private boolean step() {
			if (!this.channel.isOpen()) {
				return false;
			}
			try {
				if (!this.channel.isConnected()) {
					return this.channel.finishConnect();
				}
				if (ScriptedCallers.this.script.reads()) {
					discardInput();
				}
				if (!this.channel.isOpen() || this.sentBytes >= ScriptedCallers.this.script.length()) {
					return false;
				}
				int written = this.channel.write(ScriptedCallers.this.script.piece(this.sentBytes));
				this.sentBytes += written;
				return written > 0;
			}
			catch (IOException ex) {
				close();
				return false;
			}
		}

		private void discardInput() {
			try {
				if (!this.channel.isOpen() || !this.channel.finishConnect()) {
					return;
				}
				int read = 1;
				while (read > 0) {
					ScriptedCallers.this.discarded.clear();
					read = this.channel.read(ScriptedCallers.this.discarded);
				}
				if (read < 0) {
					close();
				}
			}
			catch (IOException ex) {
				close();
			}
		}

		private void close() {
			try {
				this.channel.close();
			}
			catch (IOException ex) {
				// The connection is gone either way.
			}
		}

	}

}
