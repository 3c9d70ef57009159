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

	CounterReader(StandinProcess http) {
		this.http = http;
	}

	Map<Integer, Long> sum(Collection<ManagedProcess> processes) {
		Map<Integer, Long> counts = new TreeMap<>();
		for (ManagedProcess process : processes) {
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
