package org.marjoramgw.rig;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.marjoramgw.HostPort;

/**
 * Reads the output of a process, keeps the latest lines, and detects the ready line.
 *
 * @author The marjoramgw authors
 */
final class ProcessOutput {

	private static final int MAX_LINES = 5_000;

	private static final String READY_LINE_MARKER = "\"event\":\"ready\"";

	private final String name;

	private final InputStream stream;

	private final Deque<String> lines = new ArrayDeque<>();

	private final CompletableFuture<Map<String, HostPort>> ready = new CompletableFuture<>();

	ProcessOutput(String name, InputStream stream) {
		this.name = name;
		this.stream = stream;
	}

	void start() {
		Thread reader = new Thread(this::read, "output of " + this.name);
		reader.setDaemon(true);
		reader.start();
	}

	Map<String, HostPort> awaitReady(long timeoutMillis) throws RigException {
		try {
			return this.ready.get(timeoutMillis, TimeUnit.MILLISECONDS);
		}
		catch (ExecutionException | TimeoutException ex) {
			throw new RigException(this.name + " did not become ready; output: " + String.join("\n", lines()), ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new RigException("interrupted", ex);
		}
	}

	List<String> lines() {
		synchronized (this.lines) {
			return List.copyOf(this.lines);
		}
	}

	private void read() {
		try (BufferedReader reader = new BufferedReader(new InputStreamReader(this.stream, StandardCharsets.UTF_8))) {
			String line = reader.readLine();
			while (line != null) {
				addLine(line);
				line = reader.readLine();
			}
		}
		catch (IOException ex) {
			addLine(ex.toString());
		}
		this.ready.completeExceptionally(new IOException(this.name + " exited"));
	}

	private void addLine(String line) {
		synchronized (this.lines) {
			if (this.lines.size() >= MAX_LINES) {
				this.lines.removeFirst();
			}
			this.lines.addLast(line);
		}
		if (!this.ready.isDone() && line.contains(READY_LINE_MARKER)) {
			completeReady(line);
		}
	}

	private void completeReady(String line) {
		try {
			JsonNode node = new ObjectMapper().readTree(line);
			Map<String, HostPort> addresses = new TreeMap<>();
			node.fields().forEachRemaining((field) -> {
				if (!"event".equals(field.getKey())) {
					addresses.put(field.getKey(), HostPort.parse(field.getValue().asText()));
				}
			});
			this.ready.complete(addresses);
		}
		catch (JsonProcessingException | IllegalArgumentException ex) {
			this.ready.completeExceptionally(ex);
		}
	}

}
