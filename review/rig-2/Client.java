import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** One request of a client on a new connection. */
final class Client {

	static final class Answer {

		int status = -1;

		final Map<String, String> headers = new HashMap<>();

		byte[] body = new byte[0];

		String failure = "";

		long tookMillis;

		@Override
		public String toString() {
			return "status=" + this.status + " took_ms=" + this.tookMillis + " bytes=" + this.body.length
					+ (this.headers.containsKey("x-response-stamp") ? " stamped" : "")
					+ (this.failure.isEmpty() ? "" : " failure=" + this.failure);
		}

	}

	private Client() {
	}

	static String head(String method, String target, String id, long deadlineMillis, String key, String more,
			int bodyLength) {
		return method + " " + target + " HTTP/1.1\r\nHost: " + Fleet.HOST + "\r\nX-Request-Id: " + id
				+ "\r\nX-Deadline-Ms: " + deadlineMillis + "\r\nAuthorization: Token " + key + "\r\n" + more
				+ ((bodyLength >= 0) ? "Content-Length: " + bodyLength + "\r\n" : "") + "\r\n";
	}

	static Answer send(String address, String head, byte[] body, long timeoutMillis) {
		Answer answer = new Answer();
		long began = System.nanoTime();
		String[] parts = address.split(":");
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), 1_000);
			socket.setSoTimeout((int) timeoutMillis);
			socket.setTcpNoDelay(true);
			socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
			socket.getOutputStream().write(body);
			socket.getOutputStream().flush();
			DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
			String line = Http.line(in);
			if (line == null) {
				answer.failure = "closed without an answer";
			}
			else {
				int status = Integer.parseInt(line.split(" ")[1]);
				Http.readHeaders(in, answer.headers);
				answer.body = Http.body(in, answer.headers, false);
				answer.status = status;
			}
		}
		catch (Exception ex) {
			answer.failure = ex.toString();
		}
		answer.tookMillis = (System.nanoTime() - began) / 1_000_000;
		return answer;
	}

}
