package org.marjoramgw.ctl.internal;

import java.time.DateTimeException;
import java.time.Instant;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Line in the log file of a process.
 *
 * @param process name of the log file
 * @param timeMillis time of the line by the clock of its process, in milliseconds
 * @param message the log message
 * @author The marjoramgw authors
 */
record LogLine(String process, long timeMillis, String message) {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final Pattern REQUEST = Pattern.compile("(?:^| )request=(\\S+)");

	private static final Pattern CODE = Pattern.compile(" code=(\\d+)");

	private static final Pattern SERVER = Pattern.compile("(?: servers?=|backend server )(\\S+)");

	private static final Pattern SERVICE = Pattern.compile("(?: service=|backend server \\S+ of )(\\S+)");

	private static final Pattern PROMPT_PART = Pattern.compile(" part=(\\S+)");

	/**
	 * Parses a line. A prefix that a log collector added before the JSON object is
	 * ignored.
	 * @param process name of the log file
	 * @param text the line
	 * @return the parsed line, or empty if it is not a JSON log line
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
			// Other programs, such as the Java virtual machine, write to the same output.
			return Optional.empty();
		}
	}

	boolean isForRequest(String requestId) {
		return requestId().filter(requestId::equals).isPresent();
	}

	/**
	 * Returns the id of the request that the line is about.
	 * @return id of the request, or empty if the line names none
	 */
	Optional<String> requestId() {
		return firstGroup(REQUEST);
	}

	/**
	 * Returns the number of the result code in the line.
	 * @return the number, or 0 if the line has none
	 */
	int code() {
		return firstGroup(CODE).map(Integer::parseInt).orElse(0);
	}

	/**
	 * Returns the ids of the backend servers in the line.
	 * @return the ids
	 */
	Set<String> servers() {
		Set<String> servers = new HashSet<>();
		Matcher matcher = SERVER.matcher(this.message);
		while (matcher.find()) {
			servers.addAll(Arrays.asList(matcher.group(1).split(",")));
		}
		return servers;
	}

	/**
	 * Returns the service that the line names.
	 * @return name of the service, or empty if the line names none
	 */
	Optional<String> service() {
		return firstGroup(SERVICE);
	}

	/**
	 * Tells whether a backend server said that it leaves, which holds until its end.
	 * @return whether the line is about that
	 */
	boolean isLeavingNotice() {
		return this.message.endsWith(" said in an answer that it leaves");
	}

	/**
	 * Returns the id of the prompt part that the line is about.
	 * @return the id, or empty if the line names none
	 */
	Optional<String> promptPart() {
		return firstGroup(PROMPT_PART);
	}

	/**
	 * Tells whether the line belongs to the history of quarantined prompt parts.
	 * @return whether it does
	 */
	boolean isQuarantine() {
		return this.message.startsWith("quarantine: ");
	}

	private Optional<String> firstGroup(Pattern pattern) {
		Matcher matcher = pattern.matcher(this.message);
		return matcher.find() ? Optional.of(matcher.group(1)) : Optional.empty();
	}

}
