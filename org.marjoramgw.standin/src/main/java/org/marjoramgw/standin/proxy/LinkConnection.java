package org.marjoramgw.standin.proxy;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;

/**
 * Connection through a link: a pair of sockets with a thread for each way.
 *
 * @author The marjoramgw authors
 */
final class LinkConnection implements AutoCloseable {

	private static final int BUFFER_BYTES = 16 * 1_024;

	private static final int CONNECT_TIMEOUT_MILLIS = 2_000;

	private final Link link;

	private final Socket client;

	private final Socket target = new Socket();

	private volatile boolean silent;

	private volatile boolean closed;

	LinkConnection(Link link, Socket client) {
		this.link = link;
		this.client = client;
	}

	/**
	 * Connects to the target and passes bytes until an end.
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
		Threads.start("proxy-" + this.link.name() + "-down", () -> pump(this.target, this.client, this.link.down()));
		pump(this.client, this.target, this.link.up());
	}

	/**
	 * Drops all further bytes both ways without closing anything.
	 */
	void silence() {
		this.silent = true;
	}

	@Override
	public void close() {
		this.closed = true;
		closeQuietly(this.client);
		closeQuietly(this.target);
		this.link.remove(this);
	}

	private void pump(Socket from, Socket to, ByteCutter cutter) {
		byte[] buffer = new byte[BUFFER_BYTES];
		try {
			InputStream in = from.getInputStream();
			OutputStream out = to.getOutputStream();
			int count = in.read(buffer);
			while (count >= 0) {
				if (!pass(buffer, count, out, cutter)) {
					break;
				}
				count = in.read(buffer);
			}
		}
		catch (IOException ex) {
			// One of the ends is gone; what follows is the same as for an orderly end
		}
		end(from);
	}

	private boolean pass(byte[] buffer, int count, OutputStream out, ByteCutter cutter) throws IOException {
		if (isSilent()) {
			return true;
		}
		delay();
		int passed = cutter.take(count);
		out.write(buffer, 0, passed);
		out.flush();
		if (cutter.isCutAfter(count, passed)) {
			cutter.disarm();
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

	private void end(Socket from) {
		if (isSilent() && !this.closed) {
			// The other socket stays open: the far end must not learn that this one is
			// gone
			closeQuietly(from);
			return;
		}
		close();
	}

	private boolean isSilent() {
		return this.silent || this.link.swallows();
	}

	private static void closeQuietly(Socket socket) {
		try {
			socket.close();
		}
		catch (IOException ex) {
			// Closing is all that can be done with it
		}
	}

}
