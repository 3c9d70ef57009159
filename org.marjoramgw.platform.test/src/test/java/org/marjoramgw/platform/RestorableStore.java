package org.marjoramgw.platform;

import java.io.IOException;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.marjoramgw.HostPort;
import org.marjoramgw.direct.follow.KeyedRecord;

/**
 * Stand-in of the platform's store that can be restored from a copy; thread-safe.
 * <p>
 * A restored store has lost what was appended since the copy, gives the offsets out
 * again, and answers in a higher era.
 *
 * @author The marjoramgw authors
 */
final class RestorableStore implements AutoCloseable {

	private static final Pattern TOPIC = Pattern.compile("topic=([^& ]+)");

	private static final Pattern FROM = Pattern.compile("from=(\\d+)");

	private static final Pattern WAIT = Pattern.compile("waitMs=(\\d+)");

	private static final Pattern AT = Pattern.compile("&at=(\\d+)");

	private final ScriptedServer server = new ScriptedServer(this::respond);

	private Map<String, List<KeyedRecord>> topics = new HashMap<>();

	private long era = 1;

	private boolean away;

	/** Connections that were used. */
	private final Set<Socket> used = new HashSet<>();

	/** Connections on which nothing is answered any more. */
	private final Set<Socket> silent = new HashSet<>();

	private boolean refusingAppends;

	private final Map<String, Integer> readCounts = new HashMap<>();

	RestorableStore() throws IOException {
	}

	HostPort address() {
		return this.server.address();
	}

	/**
	 * Appends a record.
	 * @param topic name of the topic
	 * @param record the record; its offset is ignored
	 */
	synchronized void append(String topic, KeyedRecord record) {
		List<KeyedRecord> records = records(topic);
		records.add(new KeyedRecord(record.key(), record.value(), records.size()));
		notifyAll();
	}

	/**
	 * Copies the records of all topics.
	 * @return the copy
	 */
	synchronized Map<String, List<KeyedRecord>> copy() {
		Map<String, List<KeyedRecord>> copy = new HashMap<>();
		this.topics.forEach((topic, records) -> copy.put(topic, List.copyOf(records)));
		return copy;
	}

	/**
	 * Stops to answer, and closes the connections that are used.
	 */
	synchronized void goAway() {
		this.away = true;
		notifyAll();
	}

	/**
	 * Waits until the next read of a topic begins.
	 * @param topic name of the topic
	 * @throws InterruptedException if the wait is interrupted
	 */
	synchronized void awaitRead(String topic) throws InterruptedException {
		int before = this.readCounts.getOrDefault(topic, 0);
		while (this.readCounts.getOrDefault(topic, 0) == before) {
			wait();
		}
	}

	/**
	 * Answers nothing any more on the connections that were used so far. New ones work.
	 */
	synchronized void silenceConnections() {
		this.silent.addAll(this.used);
	}

	/**
	 * Answers again, with the records of a copy.
	 * @param copy the copy
	 */
	synchronized void restore(Map<String, List<KeyedRecord>> copy) {
		this.topics = new HashMap<>();
		copy.forEach((topic, records) -> this.topics.put(topic, new ArrayList<>(records)));
		this.era++;
		this.away = false;
		notifyAll();
	}

	/**
	 * Refuses appends, or executes them again. Reads are answered all the same.
	 * @param refusing whether to refuse them
	 */
	synchronized void setRefusingAppends(boolean refusing) {
		this.refusingAppends = refusing;
	}

	@Override
	public void close() throws IOException {
		this.server.close();
	}

	private boolean respond(String request, Socket connection) throws IOException {
		synchronized (this) {
			this.used.add(connection);
		}
		String target = request.substring(0, request.indexOf(" HTTP/"));
		if (request.startsWith("GET /-/log-newest")) {
			return answer(connection, newest(text(TOPIC, target)));
		}
		if (request.startsWith("GET /-/log-read")) {
			return answer(connection, read(text(TOPIC, target), number(FROM, target), number(WAIT, target)));
		}
		if (request.startsWith("POST /-/log-append")) {
			Matcher at = AT.matcher(target);
			return answer(connection, append(text(TOPIC, target), body(request),
					at.find() ? Optional.of(Integer.valueOf(at.group(1))) : Optional.empty()));
		}
		return answer(connection, new Answer(404, ""));
	}

	private boolean answer(Socket connection, Answer answer) throws IOException {
		synchronized (this) {
			if (this.away) {
				connection.close();
				return false;
			}
			if (this.silent.contains(connection)) {
				return false;
			}
		}
		return ScriptedServer.write(connection, "HTTP/1.1 " + answer.status + " S\r\nStore-Era: " + answer.era
				+ "\r\nContent-Length: " + answer.body.length() + "\r\n\r\n" + answer.body);
	}

	private synchronized Answer newest(String topic) {
		Map<String, KeyedRecord> latest = new LinkedHashMap<>();
		records(topic).forEach((record) -> latest.put(record.key(), record));
		List<String> items = new ArrayList<>();
		for (KeyedRecord record : latest.values()) {
			record.value()
				.ifPresent((value) -> items.add("{\"key\":\"" + record.key() + "\",\"offset\":" + record.offset()
						+ ",\"value\":\"" + Base64.getEncoder().encodeToString(value) + "\"}"));
		}
		return new Answer(200, "{\"items\":[" + String.join(",", items) + "],\"hasMore\":false,\"end\":"
				+ records(topic).size() + "}");
	}

	private synchronized Answer read(String topic, int from, int waitMillis) throws IOException {
		long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
		this.readCounts.merge(topic, 1, Integer::sum);
		notifyAll();
		while (!this.away && from == records(topic).size()) {
			long leftMillis = TimeUnit.NANOSECONDS.toMillis(endNanos - System.nanoTime());
			if (leftMillis <= 0) {
				break;
			}
			try {
				wait(leftMillis);
			}
			catch (InterruptedException ex) {
				throw new IOException(ex);
			}
		}
		List<KeyedRecord> records = records(topic);
		if (from > records.size()) {
			return new Answer(410, "{\"first\":0}");
		}
		byte[] content = StoreFormat.encodeRecords(records.subList(from, records.size()));
		return new Answer(200,
				new String(ByteBuffer.allocate(2 * Long.BYTES + content.length)
					.putLong(records.size())
					.putLong(0)
					.put(content)
					.array(), StandardCharsets.ISO_8859_1));
	}

	private synchronized Answer append(String topic, byte[] body, Optional<Integer> at) {
		if (this.refusingAppends) {
			return new Answer(503, "");
		}
		List<KeyedRecord> records = records(topic);
		int first = records.size();
		if (at.isPresent() && at.get() != first) {
			return new Answer(412, "{\"end\":" + first + "}");
		}
		byte[] slice = ByteBuffer.allocate(2 * Long.BYTES + body.length).putLong(0).putLong(0).put(body).array();
		StoreFormat.decodeSlice(slice, first, this.era).records().forEach((record) -> append(topic, record));
		return new Answer(200, "{\"offset\":" + first + ",\"end\":" + records.size() + "}");
	}

	private List<KeyedRecord> records(String topic) {
		return this.topics.computeIfAbsent(topic, (name) -> new ArrayList<>());
	}

	private static String text(Pattern pattern, String target) {
		Matcher matcher = pattern.matcher(target);
		return matcher.find() ? matcher.group(1) : "";
	}

	private static int number(Pattern pattern, String target) {
		String text = text(pattern, target);
		return text.isEmpty() ? 0 : Integer.parseInt(text);
	}

	private static byte[] body(String request) {
		return request.substring(request.indexOf("\r\n\r\n") + 4).getBytes(StandardCharsets.ISO_8859_1);
	}

	/** Answer of the store, in the era in which it was made. */
	private final class Answer {

		private final int status;

		private final String body;

		private final long era;

		private Answer(int status, String body) {
			this.status = status;
			this.body = body;
			this.era = RestorableStore.this.era;
		}

	}

}
