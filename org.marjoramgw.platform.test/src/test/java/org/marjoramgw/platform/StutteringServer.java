package org.marjoramgw.platform;

import java.io.IOException;
import java.net.Socket;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.marjoramgw.DaemonThreadFactory;

/**
 * Script of a server that often writes more than its answer, at once or late, whole or
 * cut.
 *
 * @author The marjoramgw authors
 */
final class StutteringServer implements ScriptedServer.Script {

	private static final int MAX_DELAY_MILLIS = 400;

	private static final Pattern PATH = Pattern.compile("/read/(\\S+)");

	private static final Pattern ID = Pattern.compile("(?i)x-request-id: (\\S+)");

	private static final String[] STATUSES = { "200 OK", "201 Created", "404 Not Found" };

	private final Map<String, String> answerByPath = new ConcurrentHashMap<>();

	private final ScheduledExecutorService writer = Executors
		.newSingleThreadScheduledExecutor(new DaemonThreadFactory("stutter"));

	private final Random random;

	StutteringServer(Random random) {
		this.random = random;
	}

	/**
	 * Returns the answer to a request.
	 * @param path last part of its path
	 * @return the answer, or {@code null} if the request didn't arrive
	 */
	String answer(String path) {
		return this.answerByPath.get(path);
	}

	@Override
	public boolean respond(String request, Socket connection) throws IOException {
		Matcher path = PATH.matcher(request);
		Matcher id = ID.matcher(request);
		if (!path.find() || !id.find()) {
			return false;
		}
		int status = draw(STATUSES.length);
		String body = "body of " + path.group(1) + "x".repeat(draw(100));
		String idLine = "X-Request-Id: " + id.group(1) + "\r\n";
		String head = "X-Response-Stamp: " + path.group(1) + "\r\nKeep-Alive: timeout=5\r\n";
		String answer = "HTTP/1.1 " + STATUSES[status] + "\r\n" + idLine + head;
		boolean chunked = draw(3) == 0;
		String framed = chunked ? "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(body.length()) + "\r\n"
				+ body + "\r\n0\r\n\r\n" : "Content-Length: " + body.length() + "\r\n\r\n" + body;
		this.answerByPath.put(path.group(1), STATUSES[status].substring(0, 3) + " " + body);
		String[] extras = { answer + framed, "HTTP/1.1 " + STATUSES[status] + "\r\n" + head + framed,
				"HTTP/1.1 200 OK\r\n" + head + idLine + framed,
				"HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n" + idLine + "Content-Length: 0\r\n\r\n" };
		String extra = extras[draw(extras.length)];
		extra = (draw(3) == 0) ? extra : extra.substring(0, draw(extra.length()));
		int kind = draw(4);
		synchronized (connection) {
			ScriptedServer.write(connection, answer + framed + ((kind == 1) ? extra : ""));
		}
		if (kind > 1) {
			writeLater(connection, extra, (kind == 2) ? draw(10) : draw(MAX_DELAY_MILLIS));
		}
		return true;
	}

	private void writeLater(Socket connection, String extra, long delayMillis) {
		this.writer.schedule(() -> {
			synchronized (connection) {
				return ScriptedServer.write(connection, extra);
			}
		}, delayMillis, TimeUnit.MILLISECONDS);
	}

	private synchronized int draw(int bound) {
		return this.random.nextInt(bound);
	}

}
