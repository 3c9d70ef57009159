package org.marjoramgw.load.measure;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.marjoramgw.rig.ManagedProcess;
import org.marjoramgw.rig.RigException;
import org.marjoramgw.rig.StandinProcess;
import org.tinylog.Logger;

/**
 * Reads the result counters of processes from their metrics endpoints.
 *
 * @author The marjoramgw authors
 */
final class CounterReader {

	private static final Pattern COUNTER = Pattern.compile("^results_(\\d+) ([0-9.E]+)$", Pattern.MULTILINE);

	private final StandinProcess httpClient;

	private final Collection<ManagedProcess> processes;

	private final Map<Integer, Long> initialCounts;

	CounterReader(StandinProcess httpClient, Collection<ManagedProcess> processes) {
		this.httpClient = httpClient;
		this.processes = processes;
		this.initialCounts = readCounts();
	}

	Map<Integer, Long> sinceCreation() {
		Map<Integer, Long> counts = readCounts();
		this.initialCounts.forEach((number, count) -> counts.merge(number, -count, Long::sum));
		counts.values().removeIf((count) -> count <= 0);
		return counts;
	}

	private Map<Integer, Long> readCounts() {
		Map<Integer, Long> counts = new TreeMap<>();
		for (ManagedProcess process : this.processes) {
			addCounts(process, counts);
		}
		return counts;
	}

	private void addCounts(ManagedProcess process, Map<Integer, Long> counts) {
		try {
			Matcher matcher = COUNTER
				.matcher(this.httpClient.getText("http://" + process.address("http") + "/metrics"));
			while (matcher.find()) {
				counts.merge(Integer.valueOf(matcher.group(1)), (long) Double.parseDouble(matcher.group(2)), Long::sum);
			}
		}
		catch (RigException ex) {
			Logger.warn(ex, "can't read the metrics of {}", process.name());
		}
	}

}
