import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** Just enough of HTTP/1.1 for the stand-ins. */
final class Http {

	interface Server {

		void serve(Socket socket) throws Exception;

	}

	static final class Request {

		String method;

		String target;

		final Map<String, String> headers = new HashMap<>();

		byte[] body = new byte[0];

		String header(String name) {
			return this.headers.getOrDefault(name, "");
		}

		String path() {
			int mark = this.target.indexOf('?');
			return (mark < 0) ? this.target : this.target.substring(0, mark);
		}

		Map<String, String> query() {
			Map<String, String> query = new HashMap<>();
			int mark = this.target.indexOf('?');
			if (mark >= 0) {
				for (String pair : this.target.substring(mark + 1).split("&")) {
					int equals = pair.indexOf('=');
					query.put(pair.substring(0, equals),
							URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
				}
			}
			return query;
		}

	}

	private Http() {
	}

	static void serve(ServerSocket server, Server each) {
		thread(() -> {
			while (!server.isClosed()) {
				Socket socket = server.accept();
				socket.setTcpNoDelay(true);
				thread(() -> {
					try (socket) {
						each.serve(socket);
					}
				});
			}
		});
	}

	interface Task {

		void run() throws Exception;

	}

	static Thread thread(Task task) {
		Thread thread = new Thread(() -> {
			try {
				task.run();
			}
			catch (Exception ex) {
				// The peer has gone.
			}
		});
		thread.setDaemon(true);
		thread.start();
		return thread;
	}

	/** Reads a request, or null at the end. */
	static Request read(DataInputStream in) throws IOException {
		String line = line(in);
		if (line == null || line.isEmpty()) {
			return null;
		}
		Request request = new Request();
		String[] words = line.split(" ");
		request.method = words[0];
		request.target = words[1];
		readHeaders(in, request.headers);
		request.body = body(in, request.headers, true);
		return request;
	}

	static void readHeaders(DataInputStream in, Map<String, String> headers) throws IOException {
		String line = line(in);
		while (line != null && !line.isEmpty()) {
			int colon = line.indexOf(':');
			headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
			line = line(in);
		}
	}

	static byte[] body(DataInputStream in, Map<String, String> headers, boolean request) throws IOException {
		if (headers.getOrDefault("transfer-encoding", "").contains("chunked")) {
			ByteArrayOutputStream body = new ByteArrayOutputStream();
			int size = Integer.parseInt(line(in).trim(), 16);
			while (size > 0) {
				body.write(in.readNBytes(size));
				line(in);
				size = Integer.parseInt(line(in).trim(), 16);
			}
			line(in);
			return body.toByteArray();
		}
		if (headers.containsKey("content-length")) {
			int length = Integer.parseInt(headers.get("content-length"));
			byte[] body = in.readNBytes(length);
			if (body.length < length) {
				throw new IOException("body cut off");
			}
			return body;
		}
		return request ? new byte[0] : in.readAllBytes();
	}

	static String line(DataInputStream in) throws IOException {
		StringBuilder line = new StringBuilder();
		int next = in.read();
		if (next < 0) {
			return null;
		}
		while (next >= 0 && next != '\n') {
			if (next != '\r') {
				line.append((char) next);
			}
			next = in.read();
		}
		return line.toString();
	}

	static void write(OutputStream out, int status, String type, byte[] body) throws IOException {
		ByteArrayOutputStream all = new ByteArrayOutputStream();
		all.write(("HTTP/1.1 " + status + " X\r\nContent-Type: " + type + "\r\nContent-Length: " + body.length
				+ "\r\n\r\n")
			.getBytes(StandardCharsets.ISO_8859_1));
		all.write(body);
		out.write(all.toByteArray());
		out.flush();
	}

}
