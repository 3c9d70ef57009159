package org.marjoramgw.platform;

import java.io.IOException;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.marjoramgw.HostPort;
import org.marjoramgw.direct.follow.KeyedRecord;
import org.marjoramgw.program.Pause;

/**
 * Stand-in of the platform's store whose topics don't change.
 *
 * @author The marjoramgw authors
 */
final class StoreStandin implements AutoCloseable {

	private static final Pattern TOPIC = Pattern.compile("topic=([^&]+)");

	private static final Pattern WAIT = Pattern.compile("waitMs=(\\d+)");

	private final ScriptedServer server = new ScriptedServer(this::respond);

	private final Map<String, List<KeyedRecord>> topics;

	StoreStandin(Map<String, List<KeyedRecord>> topics) throws IOException {
		this.topics = topics;
	}

	HostPort address() {
		return this.server.address();
	}

	@Override
	public void close() throws IOException {
		this.server.close();
	}

	private boolean respond(String request, Socket connection) throws IOException {
		Matcher topic = TOPIC.matcher(request.substring(0, request.indexOf(" HTTP/")));
		List<KeyedRecord> records = topic.find() ? this.topics.getOrDefault(topic.group(1), List.of()) : List.of();
		String body = "{}";
		if (request.startsWith("GET /-/log-newest")) {
			body = newest(records);
		}
		else if (request.startsWith("GET /-/log-read")) {
			Matcher wait = WAIT.matcher(request);
			Pause.millis(wait.find() ? Long.parseLong(wait.group(1)) : 0);
			body = new String(ByteBuffer.allocate(2 * Long.BYTES).putLong(records.size()).array(),
					StandardCharsets.ISO_8859_1);
		}
		return ScriptedServer.write(connection,
				ScriptedServer.head("200 OK", request, "Content-Length: " + body.length() + "\r\n") + body);
	}

	private static String newest(List<KeyedRecord> records) {
		List<String> items = new ArrayList<>();
		for (KeyedRecord record : records) {
			items.add("{\"key\":\"" + record.key() + "\",\"offset\":" + items.size() + ",\"value\":\""
					+ Base64.getEncoder().encodeToString(record.value().orElseThrow()) + "\"}");
		}
		return "{\"items\":[" + String.join(",", items) + "],\"hasMore\":false,\"end\":" + items.size() + "}";
	}

}
