package org.marjoramgw.standin.proxy;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;

/**
 * Connection through a link: a pair of sockets with a thread for each direction.
 *
 * @author The marjoramgw authors
 */
final class LinkConnection implements AutoCloseable {

	private static final int BUFFER_BYTES = 16 * 1_024;

	private static final int CONNECT_TIMEOUT_MILLIS = 2_000;

	private final Link link;

	private final Socket client;

	private final Socket target = new Socket();

	private volatile boolean dropping;

	private volatile boolean closed;

	LinkConnection(Link link, Socket client) {
		this.link = link;
		this.client = client;
	}

	/**
	 * Connects to the target and forwards bytes until either side closes.
	 */
	void open() {
		try {
			this.client.setTcpNoDelay(true);
			this.target.setTcpNoDelay(true);
			this.target.connect(this.link.target().toSocketAddress(), CONNECT_TIMEOUT_MILLIS);
		}
		catch (IOException ex) {
			close();
			return;
		}
		Threads.start("proxy-" + this.link.name() + "-down",
				() -> forward(this.target, this.client, this.link.downLimit()));
		forward(this.client, this.target, this.link.upLimit());
	}

	/**
	 * Drops all further bytes in both directions without closing the sockets.
	 */
	void startDropping() {
		this.dropping = true;
	}

	@Override
	public void close() {
		this.closed = true;
		closeQuietly(this.client);
		closeQuietly(this.target);
		this.link.remove(this);
	}

	private void forward(Socket from, Socket to, ByteLimit limit) {
		byte[] buffer = new byte[BUFFER_BYTES];
		try {
			InputStream in = from.getInputStream();
			OutputStream out = to.getOutputStream();
			int count = in.read(buffer);
			while (count >= 0) {
				if (!forwardChunk(buffer, count, out, limit)) {
					break;
				}
				count = in.read(buffer);
			}
		}
		catch (IOException ex) {
			// A socket failed or was closed; handled like a regular end of stream
		}
		onEndOfStream(from);
	}

	private boolean forwardChunk(byte[] buffer, int count, OutputStream out, ByteLimit limit) throws IOException {
		if (isDropping()) {
			return true;
		}
		delay();
		int forwarded = limit.consume(count);
		out.write(buffer, 0, forwarded);
		out.flush();
		if (limit.mustCloseAfter(count, forwarded)) {
			limit.clear();
			close();
			return false;
		}
		return true;
	}

	private void delay() {
		if (this.link.delayMillis() > 0) {
			try {
				Thread.sleep(this.link.delayMillis());
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
	}

	private void onEndOfStream(Socket from) {
		if (isDropping() && !this.closed) {
			// The other socket stays open, so that its peer does not notice that this
			// side is closed
			closeQuietly(from);
			return;
		}
		close();
	}

	private boolean isDropping() {
		return this.dropping || this.link.dropsBytes();
	}

	private static void closeQuietly(Socket socket) {
		try {
			socket.close();
		}
		catch (IOException ex) {
			// Ignored: the socket is not used any more
		}
	}

}
