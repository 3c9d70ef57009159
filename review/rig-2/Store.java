import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in of the platform's store: single-partition topics in memory. */
final class Store {

	final ServerSocket server;

	private final Map<String, Topic> topics = new TreeMap<>();

	private final Map<String, Long> reads = new TreeMap<>();

	private static final class Topic {

		final List<byte[]> log = new ArrayList<>();

		final TreeMap<String, Long> newest = new TreeMap<>();

	}

	Store() throws IOException {
		this.server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
		Http.serve(this.server, this::serve);
	}

	String address() {
		return "127.0.0.1:" + this.server.getLocalPort();
	}

	/** Writes a record; a null value deletes the key. */
	synchronized void put(String topic, String key, String value) {
		byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
		byte[] valueBytes = (value != null) ? value.getBytes(StandardCharsets.UTF_8) : new byte[0];
		ByteBuffer content = ByteBuffer.allocate(1 + keyBytes.length + valueBytes.length);
		content.put((byte) keyBytes.length).put(keyBytes).put(valueBytes);
		append(topic, content.array());
		notifyAll();
	}

	/** Waits until a read of a topic arrives. */
	synchronized void awaitRead(String topic) throws InterruptedException {
		long before = this.reads.getOrDefault(topic, 0L);
		while (this.reads.getOrDefault(topic, 0L) == before) {
			wait();
		}
	}

	private Topic topic(String name) {
		return this.topics.computeIfAbsent(name, (key) -> new Topic());
	}

	private void append(String name, byte[] content) {
		Topic topic = topic(name);
		int keyLength = content[0] & 0xff;
		String key = new String(content, 1, keyLength, StandardCharsets.UTF_8);
		if (content.length > 1 + keyLength) {
			topic.newest.put(key, (long) topic.log.size());
		}
		else {
			topic.newest.remove(key);
		}
		topic.log.add(content);
	}

	private void serve(Socket socket) throws Exception {
		DataInputStream in = new DataInputStream(new java.io.BufferedInputStream(socket.getInputStream()));
		OutputStream out = socket.getOutputStream();
		Http.Request request = Http.read(in);
		while (request != null) {
			respond(request, out);
			request = Http.read(in);
		}
	}

	private void respond(Http.Request request, OutputStream out) throws Exception {
		Map<String, String> query = request.query();
		String path = request.path();
		if (path.equals("/-/log-newest")) {
			Http.write(out, 200, "application/json", newest(query.get("topic"), query.getOrDefault("afterRevision", "")));
		}
		else if (path.equals("/-/log-read")) {
			read(query, out);
		}
		else if (path.equals("/-/log-append")) {
			appendCall(query, request.body, out);
		}
		else {
			Http.write(out, 404, "application/json", "{}".getBytes());
		}
	}

	private synchronized byte[] newest(String name, String after) {
		Topic topic = topic(name);
		StringBuilder items = new StringBuilder();
		int count = 0;
		boolean more = false;
		for (Map.Entry<String, Long> entry : topic.newest.tailMap(after, false).entrySet()) {
			if (count == 500) {
				more = true;
				break;
			}
			byte[] content = topic.log.get(entry.getValue().intValue());
			int keyLength = content[0] & 0xff;
			byte[] value = java.util.Arrays.copyOfRange(content, 1 + keyLength, content.length);
			items.append((count > 0) ? "," : "")
				.append("{\"key\":\"" + entry.getKey() + "\",\"value\":\"" + Base64.getEncoder().encodeToString(value)
						+ "\",\"offset\":" + entry.getValue() + "}");
			count++;
		}
		return ("{\"items\":[" + items + "],\"hasMore\":" + more + ",\"end\":" + topic.log.size() + "}").getBytes();
	}

	private void read(Map<String, String> query, OutputStream out) throws Exception {
		int from = Integer.parseInt(query.get("from"));
		long until = System.nanoTime() / 1_000_000 + Long.parseLong(query.getOrDefault("waitMs", "0"));
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		synchronized (this) {
			this.reads.merge(query.get("topic"), 1L, Long::sum);
			notifyAll();
			Topic topic = topic(query.get("topic"));
			long left = until - System.nanoTime() / 1_000_000;
			while (topic.log.size() <= from && left > 0) {
				wait(left);
				left = until - System.nanoTime() / 1_000_000;
			}
			body.write(ByteBuffer.allocate(16).putLong(topic.log.size()).putLong(0).array());
			for (int offset = from; offset < topic.log.size(); offset++) {
				byte[] content = topic.log.get(offset);
				body.write(ByteBuffer.allocate(4).putInt(content.length).array());
				body.write(content);
			}
		}
		Http.write(out, 200, "application/octet-stream", body.toByteArray());
	}

	private void appendCall(Map<String, String> query, byte[] body, OutputStream out) throws IOException {
		String answer;
		int status = 200;
		synchronized (this) {
			Topic topic = topic(query.get("topic"));
			int offset = topic.log.size();
			if (query.containsKey("at") && Integer.parseInt(query.get("at")) != offset) {
				status = 412;
				answer = "{\"end\":" + offset + "}";
			}
			else {
				ByteBuffer records = ByteBuffer.wrap(body);
				while (records.hasRemaining()) {
					byte[] content = new byte[records.getInt()];
					records.get(content);
					append(query.get("topic"), content);
				}
				notifyAll();
				answer = "{\"offset\":" + offset + ",\"end\":" + topic.log.size() + "}";
			}
		}
		Http.write(out, status, "application/json", answer.getBytes());
	}

}
