import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients of one entry process. Each request has a connection of its own. */
final class Traffic {

	private static final AtomicInteger IDS = new AtomicInteger();

	final AtomicInteger sent = new AtomicInteger();

	final AtomicInteger served = new AtomicInteger();

	final AtomicInteger refused = new AtomicInteger();

	final AtomicInteger failed = new AtomicInteger();

	/** Requests that were still unanswered at their timeout. */
	final AtomicInteger unanswered = new AtomicInteger();

	/** Those of them that were still unanswered half a second later. */
	final AtomicInteger late = new AtomicInteger();

	private final Record record;

	Traffic(Record record) {
		this.record = record;
	}

	static String id(String prefix) {
		return prefix + "-" + IDS.incrementAndGet();
	}

	/** Sends requests at a steady rate until the time is over. */
	static Thread pace(double perSecond, long forMillis, Http.Task each) {
		return Http.thread(() -> {
			long began = System.nanoTime();
			for (int count = 0; count < perSecond * forMillis / 1000; count++) {
				long due = began + (long) (count * 1e9 / perSecond);
				Thread.sleep(Math.max(0, (due - System.nanoTime()) / 1_000_000));
				Http.thread(each);
			}
		});
	}

	void plain(Fleet.Entry entry, String method, String target, String key, String more, long deadlineMillis) {
		String id = id(entry.name);
		this.sent.incrementAndGet();
		this.record.line("send " + id + " " + method + " " + target);
		byte[] body = new byte[method.equals("POST") ? 600 : 0];
		Client.Answer answer = Client.send(entry.front,
				Client.head(method, target, id, deadlineMillis, key, more, method.equals("POST") ? body.length : -1),
				body, deadlineMillis + 1_000);
		this.record.line("answer " + id + " " + answer);
		count(answer.status);
		if (answer.tookMillis > deadlineMillis) {
			this.unanswered.incrementAndGet();
			if (answer.status < 0 || answer.tookMillis > deadlineMillis + 500) {
				this.late.incrementAndGet();
			}
		}
	}

	private void count(int status) {
		AtomicInteger counter = (status == 200) ? this.served : (status == 503 || status == 429) ? this.refused
				: this.failed;
		counter.incrementAndGet();
	}

	/** Sends a prompt with a shared part of its own choice. */
	void prompt(Fleet.Entry entry, String target, String key, long deadlineMillis, String sharedPart) {
		stream(entry, target, key, deadlineMillis, 1_000_000, sharedPart);
	}

	/** Reads a stream at the speed of a client's link. */
	void stream(Fleet.Entry entry, String target, String key, long deadlineMillis, int bytesPerSecond) {
		stream(entry, target, key, deadlineMillis, bytesPerSecond, "");
	}

	private void stream(Fleet.Entry entry, String target, String key, long deadlineMillis, int bytesPerSecond,
			String sharedPart) {
		String id = id(entry.name);
		this.sent.incrementAndGet();
		this.record.line("send " + id + " POST " + target);
		long began = System.nanoTime();
		int status = -1;
		long bytes = 0;
		String end = "complete";
		try (Socket socket = new Socket()) {
			socket.setReceiveBufferSize(64 << 10);
			String[] parts = entry.front.split(":");
			socket.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), 1_000);
			socket.setSoTimeout((int) deadlineMillis);
			int part = IDS.incrementAndGet();
			String more = "X-Model: m\r\nX-Token-Usage: " + (sharedPart.isEmpty() ? 1460 : 1660) + ",80\r\nX-Prompt-Prefix: " + Integer.toHexString(part % 40 + 0x5c000000)
					+ ":350," + (sharedPart.isEmpty() ? "" : sharedPart + ":200,") + Integer.toHexString(part + 0x6c000000) + ":1110\r\n";
			byte[] body = new byte[1500];
			socket.getOutputStream().write(Fleet.bytes(Client.head("POST", target, id, deadlineMillis, key, more, body.length)));
			socket.getOutputStream().write(body);
			DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
			String line = Http.line(in);
			if (line == null) {
				end = "closed without an answer";
			}
			else {
				status = Integer.parseInt(line.split(" ")[1]);
				Map<String, String> headers = new HashMap<>();
				Http.readHeaders(in, headers);
				bytes = drain(in, headers, began + deadlineMillis * 1_000_000, bytesPerSecond);
			}
		}
		catch (Exception ex) {
			end = ex.toString();
		}
		this.record.line("answer " + id + " status=" + status + " took_ms=" + (System.nanoTime() - began) / 1_000_000
				+ " bytes=" + bytes + " " + end);
		count(end.equals("complete") ? status : (status == 200) ? -1 : status);
	}

	private static long drain(DataInputStream in, Map<String, String> headers, long untilNanos, int bytesPerSecond)
			throws Exception {
		long bytes = 0;
		if (!headers.getOrDefault("transfer-encoding", "").contains("chunked")) {
			return Http.body(in, headers, false).length;
		}
		long began = System.nanoTime();
		int size = Integer.parseInt(Http.line(in).trim(), 16);
		while (size > 0) {
			skip(in, size);
			bytes += size;
			Http.line(in);
			if (System.nanoTime() > untilNanos) {
				throw new java.io.IOException("the client's deadline is over");
			}
			long dueMillis = bytes * 1000 / bytesPerSecond - (System.nanoTime() - began) / 1_000_000;
			if (dueMillis > 0) {
				Thread.sleep(dueMillis);
			}
			String line = Http.line(in);
			if (line == null) {
				throw new java.io.IOException("broken off");
			}
			size = Integer.parseInt(line.trim(), 16);
		}
		return bytes;
	}

	private static void skip(InputStream in, int size) throws Exception {
		if (in.readNBytes(size).length < size) {
			throw new java.io.IOException("broken off");
		}
	}

	@Override
	public String toString() {
		return "sent=" + this.sent + " served=" + this.served + " refused=" + this.refused + " failed=" + this.failed
				+ " unanswered_at_timeout=" + this.unanswered + " half_a_second_later=" + this.late;
	}

}
