import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Proxy in front of the store whose open connections can be silenced for good. */
final class Proxy {

	final ServerSocket server;

	private final String target;

	private final Set<Link> links = ConcurrentHashMap.newKeySet();

	private static final class Link {

		volatile boolean silent;

	}

	Proxy(String target) throws IOException {
		this.target = target;
		this.server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
		Http.serve(this.server, this::serve);
	}

	String address() {
		return "127.0.0.1:" + this.server.getLocalPort();
	}

	/** Passes nothing on any more for the connections that are open now; new ones work. */
	int silence() {
		this.links.forEach((link) -> link.silent = true);
		return this.links.size();
	}

	private void serve(Socket near) throws Exception {
		Link link = new Link();
		this.links.add(link);
		String[] parts = this.target.split(":");
		try (Socket far = new Socket(parts[0], Integer.parseInt(parts[1]))) {
			far.setTcpNoDelay(true);
			Thread back = Http.thread(() -> {
				pump(far.getInputStream(), near.getOutputStream(), link);
				if (!link.silent) {
					near.shutdownOutput();
				}
			});
			pump(near.getInputStream(), far.getOutputStream(), link);
			if (!link.silent) {
				far.shutdownOutput();
				back.join();
			}
		}
		finally {
			this.links.remove(link);
		}
	}

	private static void pump(InputStream in, OutputStream out, Link link) throws IOException {
		byte[] bytes = new byte[65536];
		int count = in.read(bytes);
		while (count >= 0) {
			if (!link.silent) {
				out.write(bytes, 0, count);
				out.flush();
			}
			count = in.read(bytes);
		}
	}

}
