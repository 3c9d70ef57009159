package org.marjoramgw.ctl.internal;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

import com.beust.jcommander.ParameterException;
import org.marjoramgw.ResultCode;

/**
 * Searches the log files of several processes for the lines about a request, and for the
 * lines about the state of those processes shortly before and during the request.
 *
 * @author The marjoramgw authors
 */
public final class LogSearch {

	/** Time before the first line of a request in which state lines are included. */
	private static final long STATE_WINDOW_MILLIS = 10_000;

	private static final Set<String> STATE_MESSAGES = Set.of("contact with the store", "configuration version",
			"started ", "stopping ", "warmed up", "time of day");

	private final List<List<LogLine>> logs = new ArrayList<>();

	/**
	 * Reads the log files.
	 * @param files one file for each process
	 * @throws ParameterException if a file can't be read
	 */
	public LogSearch(List<Path> files) {
		files.forEach((file) -> this.logs.add(read(file)));
	}

	/**
	 * Finds the log lines about a request.
	 * @param requestId id of the request
	 * @return the lines about the request and the related state of the processes, in
	 * order of time
	 */
	public ExplainReport explain(String requestId) {
		List<ExplainReport.Step> steps = new ArrayList<>();
		quarantineLines(requestId).forEach((line) -> steps.add(step("state", line)));
		for (List<LogLine> log : this.logs) {
			List<LogLine> requestLines = log.stream().filter((line) -> line.isForRequest(requestId)).toList();
			if (!requestLines.isEmpty()) {
				Set<String> servers = servers(requestLines);
				log.stream()
					.filter((line) -> isRelatedState(line, requestLines, servers))
					.map((line) -> step("state", line))
					.forEach(steps::add);
				requestLines.forEach((line) -> steps.add(step("request", line)));
			}
		}
		steps.sort(Comparator.comparingLong(ExplainReport.Step::timeMillis));
		return new ExplainReport(requestId, steps, List.of());
	}

	/**
	 * Finds the verdict for which a request was refused, and the crashes that led to it.
	 * All processes report them, at any time before.
	 * @param requestId id of the request
	 * @return the lines of all logs
	 */
	private List<LogLine> quarantineLines(String requestId) {
		List<LogLine> refusals = allLines()
			.filter((line) -> line.isForRequest(requestId) && line.promptPart().isPresent())
			.toList();
		Set<String> servers = servers(refusals);
		Set<Optional<String>> parts = new HashSet<>();
		refusals.forEach((line) -> parts.add(line.promptPart()));
		return allLines().filter(LogLine::isQuarantine)
			.filter((line) -> line.promptPart().isPresent() ? parts.contains(line.promptPart())
					: line.servers().stream().anyMatch(servers::contains))
			.toList();
	}

	private Stream<LogLine> allLines() {
		return this.logs.stream().flatMap(List::stream);
	}

	private static Set<String> servers(List<LogLine> lines) {
		Set<String> servers = new HashSet<>();
		lines.forEach((line) -> servers.addAll(line.servers()));
		return servers;
	}

	private static boolean isRelatedState(LogLine line, List<LogLine> requestLines, Set<String> servers) {
		long firstMillis = requestLines.get(0).timeMillis();
		long lastMillis = requestLines.get(requestLines.size() - 1).timeMillis();
		boolean recent = line.timeMillis() >= firstMillis - STATE_WINDOW_MILLIS || line.isLeavingNotice();
		boolean inWindow = recent && line.timeMillis() <= lastMillis;
		if (!inWindow || line.requestId().isPresent() || line.isQuarantine()) {
			return false;
		}
		return line.servers().stream().anyMatch(servers::contains)
				|| line.service().isPresent()
						&& requestLines.stream().map(LogLine::service).anyMatch(line.service()::equals)
				|| STATE_MESSAGES.stream().anyMatch(line.message()::contains);
	}

	private static ExplainReport.Step step(String kind, LogLine line) {
		String text = ResultCode.ofNumber(line.code()).map(ResultCode::text).orElse("");
		return new ExplainReport.Step(line.timeMillis(), line.process(), "", kind, line.code(), text, line.message());
	}

	private static List<LogLine> read(Path file) {
		String process = file.getFileName().toString();
		try (Stream<String> lines = Files.lines(file)) {
			return lines.flatMap((text) -> LogLine.parse(process, text).stream()).toList();
		}
		catch (IOException | UncheckedIOException ex) {
			throw new ParameterException(Messages.unreadableLog(file, ex.getMessage()));
		}
	}

}
