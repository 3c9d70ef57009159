package org.marjoramgw.ctl.internal;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;

import com.beust.jcommander.ParameterException;
import org.marjoramgw.ResultCode;

/**
 * Finds the course of a request in the logs of many processes, and what those processes
 * believed shortly before.
 *
 * @author The marjoramgw authors
 */
public final class LogSearch {

	/** How far before a request's first line the state of a process matters. */
	private static final long STATE_MILLIS = 10_000;

	private static final Set<String> STATE_WORDS = Set.of("contact with the store", "configuration version", "started ",
			"stopping ", "warmed up", "time of day");

	private final List<List<LogLine>> logs = new ArrayList<>();

	/**
	 * Reads logs.
	 * @param files one file for each process
	 */
	public LogSearch(List<Path> files) {
		files.forEach((file) -> this.logs.add(read(file)));
	}

	/**
	 * Explains a request.
	 * @param requestId id of the request
	 * @return its steps in the order of time, each after the state that it met
	 */
	public ExplainReport explain(String requestId) {
		List<ExplainReport.Step> steps = new ArrayList<>();
		for (List<LogLine> log : this.logs) {
			List<LogLine> own = log.stream().filter((line) -> line.isForRequest(requestId)).toList();
			if (!own.isEmpty()) {
				Set<String> servers = servers(own);
				log.stream()
					.filter((line) -> isStateOf(line, own, servers))
					.map((line) -> step("state", line))
					.forEach(steps::add);
				own.forEach((line) -> steps.add(step("request", line)));
			}
		}
		steps.sort(Comparator.comparingLong(ExplainReport.Step::timeMillis));
		return new ExplainReport(requestId, steps, List.of());
	}

	private static Set<String> servers(List<LogLine> lines) {
		Set<String> servers = new HashSet<>();
		lines.forEach((line) -> servers.addAll(line.servers()));
		return servers;
	}

	private static boolean isStateOf(LogLine line, List<LogLine> own, Set<String> servers) {
		long firstMillis = own.get(0).timeMillis();
		long lastMillis = own.get(own.size() - 1).timeMillis();
		boolean near = line.timeMillis() >= firstMillis - STATE_MILLIS && line.timeMillis() <= lastMillis;
		if (!near || line.requestId().isPresent()) {
			return false;
		}
		return line.servers().stream().anyMatch(servers::contains)
				|| STATE_WORDS.stream().anyMatch(line.message()::contains);
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
