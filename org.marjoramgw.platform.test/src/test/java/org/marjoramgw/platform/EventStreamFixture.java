package org.marjoramgw.platform;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntFunction;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;

import org.testng.Assert;

/**
 * Streams of numbered events, and scripts of the backend servers that send them.
 *
 * @author The marjoramgw authors
 */
abstract class EventStreamFixture {

	static final String KEY = "Authorization: Token key-1\r\n";

	static final String STREAM_HEADERS = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";

	private static final Pattern LAST_EVENT_ID = Pattern.compile("(?i)last-event-id: (\\d+)");

	private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: event \\1 ok\n\n");

	static final int EVENT_COUNT = 6;

	EventStreamFixture() {
	}

	/**
	 * Returns a script for several servers that breaks off the first stream and completes
	 * the others.
	 * @param firstBody body of the first stream up to the fault, by the id of its first
	 * event
	 * @param otherBody body of the others, without the last chunk
	 * @return the script
	 */
	static ScriptedServer.Script breakingOffFirst(IntFunction<String> firstBody, IntFunction<String> otherBody) {
		AtomicInteger requests = new AtomicInteger();
		return (request, connection) -> {
			boolean fails = requests.getAndIncrement() == 0;
			int next = lastEventId(request) + 1;
			write(connection, ScriptedServer.head("200 OK", request, STREAM_HEADERS)
					+ (fails ? firstBody.apply(next) : otherBody.apply(next) + "0\r\n\r\n"));
			if (fails) {
				connection.close();
			}
			return !fails;
		};
	}

	static void assertComplete(String response, String description) {
		Assert.assertTrue(response.startsWith("HTTP/1.1 200 ") && response.endsWith("0\r\n\r\n"),
				description + ": " + response);
		Assert.assertEquals(eventIds(response), IntStream.rangeClosed(1, EVENT_COUNT).boxed().toList(),
				description + ": " + response);
	}

	static List<Integer> eventIds(String response) {
		String body = response.replaceAll("(?s)^.*?\r\n\r\n", "")
			.replaceAll("(?m)^[0-9a-f]+\r\n", "")
			.replace("\r\n", "");
		Assert.assertEquals(EVENT.matcher(body).replaceAll(""), "", "only complete events: " + response);
		return EVENT.matcher(body).results().map((event) -> Integer.valueOf(event.group(1))).toList();
	}

	static int lastEventId(String request) {
		Matcher id = LAST_EVENT_ID.matcher(request);
		return id.find() ? Integer.parseInt(id.group(1)) : 0;
	}

	static String event(int id) {
		return "id: " + id + "\ndata: event " + id + " ok\n\n";
	}

	static String events(int firstId) {
		return events(firstId, EVENT_COUNT);
	}

	static String events(int firstId, int lastId) {
		StringBuilder events = new StringBuilder();
		IntStream.rangeClosed(firstId, Math.min(lastId, EVENT_COUNT)).forEach((id) -> events.append(event(id)));
		return events.toString();
	}

	static String chunk(String data) {
		return data.isEmpty() ? "" : Integer.toHexString(data.length()) + "\r\n" + data + "\r\n";
	}

	static void write(Socket connection, String bytes) throws IOException {
		ScriptedServer.write(connection, bytes);
	}

}
