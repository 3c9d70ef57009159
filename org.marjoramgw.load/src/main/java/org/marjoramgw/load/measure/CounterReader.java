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
 * Reader of the result counters of processes.
 *
 * @author The marjoramgw authors
 */
final class CounterReader {

	private static final Pattern COUNTER = Pattern.compile("^results_(\\d+) ([0-9.E]+)$", Pattern.MULTILINE);

	private final StandinProcess http;

	private final Collection<ManagedProcess> processes;

	private final Map<Integer, Long> countsAtCreation;

	CounterReader(StandinProcess http, Collection<ManagedProcess> processes) {
		this.http = http;
		this.processes = processes;
		this.countsAtCreation = sum();
	}

	Map<Integer, Long> sinceCreation() {
		Map<Integer, Long> counts = sum();
		this.countsAtCreation.forEach((number, count) -> counts.merge(number, -count, Long::sum));
		counts.values().removeIf((count) -> count <= 0);
		return counts;
	}

	private Map<Integer, Long> sum() {
		Map<Integer, Long> counts = new TreeMap<>();
		for (ManagedProcess process : this.processes) {
			add(process, counts);
		}
		return counts;
	}

	private void add(ManagedProcess process, Map<Integer, Long> counts) {
		try {
			Matcher matcher = COUNTER.matcher(this.http.getText("http://" + process.address("http") + "/metrics"));
			while (matcher.find()) {
				counts.merge(Integer.valueOf(matcher.group(1)), (long) Double.parseDouble(matcher.group(2)), Long::sum);
			}
		}
		catch (RigException ex) {
			Logger.warn(ex, "metrics of {} can't be read", process.name());
		}
	}

}
