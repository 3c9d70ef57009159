package org.marjoramgw.ctl.internal;

import java.time.DateTimeException;
import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * One line of a process's log.
 *
 * @param process name of the file that it stands in
 * @param timeMillis when it was written, by the clock of its process, in milliseconds
 * @param message what it says
 * @author The marjoramgw authors
 */
record LogLine(String process, long timeMillis, String message) {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final Pattern REQUEST = Pattern.compile("(?:^| )request=(\\S+)");

	private static final Pattern CODE = Pattern.compile(" code=(\\d+)");

	private static final Pattern SERVER = Pattern.compile("(?: server=|backend server )(\\S+)");

	/**
	 * Parses a line; what a log collector put before it is ignored.
	 * @param process name of the file that it stands in
	 * @param text the line
	 * @return the parsed line, or empty if it is none of a process's
	 */
	static Optional<LogLine> parse(String process, String text) {
		int start = text.indexOf('{');
		if (start < 0) {
			return Optional.empty();
		}
		try {
			JsonNode line = MAPPER.readTree(text.substring(start));
			long timeMillis = Instant.parse(line.path("time").asText()).toEpochMilli();
			return Optional.of(new LogLine(process, timeMillis, line.path("message").asText()));
		}
		catch (JsonProcessingException | DateTimeException ex) {
			// Other programs write to the same output, the virtual machine among them.
			return Optional.empty();
		}
	}

	boolean isForRequest(String requestId) {
		return requestId().filter(requestId::equals).isPresent();
	}

	/**
	 * Returns the request that the line is about.
	 * @return its id, or empty for a line about the state of the process
	 */
	Optional<String> requestId() {
		return first(REQUEST);
	}

	/**
	 * Returns the number of the result that the line names.
	 * @return the number, 0 if it names none
	 */
	int code() {
		return first(CODE).map(Integer::parseInt).orElse(0);
	}

	/**
	 * Returns the backend servers that the line names.
	 * @return their ids
	 */
	Set<String> servers() {
		Set<String> servers = new HashSet<>();
		Matcher matcher = SERVER.matcher(this.message);
		while (matcher.find()) {
			servers.add(matcher.group(1));
		}
		return servers;
	}

	private Optional<String> first(Pattern pattern) {
		Matcher matcher = pattern.matcher(this.message);
		return matcher.find() ? Optional.of(matcher.group(1)) : Optional.empty();
	}

}
