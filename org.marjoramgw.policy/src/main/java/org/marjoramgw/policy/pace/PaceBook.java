package org.marjoramgw.policy.pace;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;

import org.marjoramgw.MillisClock;

/**
 * Estimates of the pace at which each backend server generates, from the measurements of
 * all entry processes; thread-safe.
 * <p>
 * The pace of a server is a high quantile of the latest measurements: what it does when
 * it has little other work. Load and short slowdowns only lower single measurements, and
 * placing by them would move prompts away from their caches.
 *
 * @author The marjoramgw authors
 */
public final class PaceBook {

	/** Pace of all servers before anything is known; only ratios matter then. */
	private static final double DEFAULT_EVENTS_PER_SECOND = 25;

	/** Number of latest measurements that the pace is estimated from. */
	private static final int SAMPLE_COUNT = 15;

	/** Number of measurements from which on a server has an estimate. */
	private static final int MIN_SAMPLE_COUNT = 3;

	/** Quantile of the measurements that is the pace. */
	private static final double PACE_QUANTILE = 0.8;

	/**
	 * The same for the long pause. The median leaves out slow periods of less than a
	 * second.
	 */
	private static final double LONG_PAUSE_QUANTILE = 0.5;

	/** Greatest ratio of the pace of a server to the median that is assumed. */
	private static final double MAX_RATIO = 4;

	private static final long FORGET_MILLIS = 600_000;

	private static final int MAX_SERVERS = 4_096;

	private final MillisClock clock;

	private final Map<Integer, Samples> samplesByServer = new HashMap<>();

	/**
	 * Creates a book without measurements.
	 * @param clock monotonic clock
	 */
	public PaceBook(MillisClock clock) {
		this.clock = clock;
	}

	/**
	 * Records a measurement of this process or of a peer.
	 * @param serverKey key of the server
	 * @param measurement the measurement
	 */
	public synchronized void onMeasured(int serverKey, PaceMeasurement measurement) {
		if (measurement.eventsPerSecond() <= 0 || !Double.isFinite(measurement.eventsPerSecond())) {
			return;
		}
		long nowMillis = this.clock.nowMillis();
		if (this.samplesByServer.size() >= MAX_SERVERS) {
			this.samplesByServer.values().removeIf((samples) -> nowMillis - samples.updatedMillis > FORGET_MILLIS);
		}
		if (this.samplesByServer.size() < MAX_SERVERS || this.samplesByServer.containsKey(serverKey)) {
			this.samplesByServer.computeIfAbsent(serverKey, (key) -> new Samples()).add(measurement, nowMillis);
		}
	}

	/**
	 * Returns the paces of the servers of a service. A server without an estimate has the
	 * median of the others.
	 * @param serverKeys keys of the servers
	 * @return the paces in the same order
	 */
	public synchronized List<ServerPace> paces(int[] serverKeys) {
		List<Samples> known = IntStream.of(serverKeys)
			.mapToObj(this.samplesByServer::get)
			.filter((samples) -> samples != null && samples.pace > 0)
			.toList();
		double median = median(known, (samples) -> samples.pace, DEFAULT_EVENTS_PER_SECOND);
		double medianLongPause = median(known, (samples) -> samples.longPauseMillis, 1);
		List<ServerPace> paces = new ArrayList<>(serverKeys.length);
		for (int serverKey : serverKeys) {
			Samples samples = this.samplesByServer.get(serverKey);
			if (samples == null || samples.pace <= 0) {
				paces.add(new ServerPace(median, 1, medianLongPause, 1));
				continue;
			}
			double pace = Math.max(median / MAX_RATIO, Math.min(median * MAX_RATIO, samples.pace));
			paces.add(new ServerPace(pace, pace / median, samples.longPauseMillis,
					samples.longPauseMillis / medianLongPause));
		}
		return paces;
	}

	private static double median(List<Samples> known, ToDoubleFunction<Samples> value, double unknown) {
		double[] sorted = known.stream().mapToDouble(value).sorted().toArray();
		return (sorted.length > 0) ? sorted[sorted.length / 2] : unknown;
	}

	/**
	 * Returns the pace of a server.
	 * @param serverKey key of the server
	 * @return the pace in events per second, 0 if it is unknown
	 */
	public synchronized double steadyPace(int serverKey) {
		Samples samples = this.samplesByServer.get(serverKey);
		return (samples != null) ? samples.pace : 0;
	}

	/** Measurements of one server. */
	private static final class Samples {

		private final double[] paces = new double[SAMPLE_COUNT];

		private final double[] longPauses = new double[SAMPLE_COUNT];

		private int count;

		private double pace;

		private double longPauseMillis;

		private long updatedMillis;

		private void add(PaceMeasurement measurement, long nowMillis) {
			int index = this.count++ % SAMPLE_COUNT;
			this.paces[index] = measurement.eventsPerSecond();
			this.longPauses[index] = Math.max(1, measurement.longPauseMillis());
			this.updatedMillis = nowMillis;
			if (this.count >= MIN_SAMPLE_COUNT) {
				this.pace = quantile(this.paces, PACE_QUANTILE);
				this.longPauseMillis = quantile(this.longPauses, LONG_PAUSE_QUANTILE);
			}
		}

		private double quantile(double[] latest, double fraction) {
			double[] sorted = Arrays.copyOf(latest, Math.min(this.count, SAMPLE_COUNT));
			Arrays.sort(sorted);
			return sorted[(int) (fraction * (sorted.length - 1))];
		}

	}

}
