package org.marjoramgw.policy.pace;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.stream.IntStream;

import org.marjoramgw.MillisClock;

/**
 * Estimates of the pace at which each backend server reads prompts, in tokens per
 * millisecond, from the measurements of all entry processes; thread-safe.
 * <p>
 * The steady pace is the median of the latest measurements, so that neither an outlier
 * nor a short slowdown changes it. A slowdown is a factor that follows the latest
 * measurements at once and ends within a second.
 *
 * @author The marjoramgw authors
 */
public final class PaceBook {

	/** Pace of all servers before anything is known; only ratios matter then. */
	public static final double DEFAULT_TOKENS_PER_MILLI = 50;

	/** Number of measurements whose median is the steady pace. */
	private static final int SAMPLE_COUNT = 9;

	/** Shortest prompt that is measured; the time of shorter ones is mostly latency. */
	private static final double MIN_MEASURED_TOKENS = 2_000;

	/** Time after which the effect of a measurement on the slowdown has faded. */
	private static final double SLOWDOWN_MILLIS = 400;

	/** Weight of the assumption that there is no slowdown, in measurements. */
	private static final double NO_SLOWDOWN_WEIGHT = 0.5;

	/** Greatest ratio of the pace of a server to the median that is assumed. */
	private static final double MAX_RATIO = 3;

	/** Greatest slowdown that is assumed, as a factor of the pace. */
	private static final double MIN_SLOWDOWN_FACTOR = 0.3;

	/**
	 * Fraction of the shortest time to a first token that isn't spent on reading the
	 * prompt. The rest is the prompt of that request.
	 */
	private static final double LATENCY_FRACTION = 0.8;

	/** Interval after which the shortest time to a first token is measured anew. */
	private static final long LATENCY_INTERVAL_MILLIS = 10_000;

	private static final long FORGET_MILLIS = 600_000;

	private static final int MAX_SERVERS = 4_096;

	private final MillisClock clock;

	private final Map<Integer, Samples> samplesByServer = new HashMap<>();

	private double shortestMillis = Double.MAX_VALUE;

	private double previousShortestMillis = Double.MAX_VALUE;

	private long latencyIntervalStartMillis;

	/**
	 * Creates a book without measurements.
	 * @param clock monotonic clock
	 */
	public PaceBook(MillisClock clock) {
		this.clock = clock;
		this.latencyIntervalStartMillis = clock.nowMillis();
	}

	/**
	 * Records a first token at this process.
	 * @param serverKey key of the server
	 * @param tokenCount prompt tokens that the server read until then
	 * @param millis time from the send to the first token without the lag of this
	 * process, in milliseconds
	 * @return the measured pace in tokens per millisecond, 0 if the prompt was too short
	 */
	public synchronized double onFirstToken(int serverKey, double tokenCount, double millis) {
		double time = Math.max(1, millis);
		double latency = latencyMillis(time);
		if (tokenCount < MIN_MEASURED_TOKENS) {
			return 0;
		}
		double pace = tokenCount / Math.max(time - latency, time / 4);
		record(serverKey, pace);
		return pace;
	}

	/**
	 * Records the measurement of a peer.
	 * @param serverKey key of the server
	 * @param tokensPerMilli measured pace, in tokens per millisecond
	 */
	public synchronized void onPeerPace(int serverKey, double tokensPerMilli) {
		if (tokensPerMilli > 0 && Double.isFinite(tokensPerMilli)) {
			record(serverKey, tokensPerMilli);
		}
	}

	/**
	 * Returns the present paces of the servers of a service. A server without
	 * measurements has the median of the others.
	 * @param serverKeys keys of the servers
	 * @return the paces in the same order, in tokens per millisecond
	 */
	public synchronized List<ServerPace> paces(int[] serverKeys) {
		long nowMillis = this.clock.nowMillis();
		double[] known = IntStream.of(serverKeys)
			.mapToObj(this.samplesByServer::get)
			.filter(Objects::nonNull)
			.mapToDouble((samples) -> samples.steadyPace)
			.toArray();
		double median = (known.length > 0) ? median(known) : DEFAULT_TOKENS_PER_MILLI;
		List<ServerPace> paces = new ArrayList<>(serverKeys.length);
		for (int serverKey : serverKeys) {
			Samples samples = this.samplesByServer.get(serverKey);
			if (samples == null) {
				paces.add(new ServerPace(median, median));
				continue;
			}
			double steady = Math.max(median / MAX_RATIO, Math.min(median * MAX_RATIO, samples.steadyPace));
			paces.add(new ServerPace(steady, steady * samples.slowdownFactor(nowMillis)));
		}
		return paces;
	}

	/**
	 * Returns the steady pace of a server.
	 * @param serverKey key of the server
	 * @return the pace in tokens per millisecond, 0 if it is unknown
	 */
	public synchronized double steadyPace(int serverKey) {
		Samples samples = this.samplesByServer.get(serverKey);
		return (samples != null) ? samples.steadyPace : 0;
	}

	/**
	 * Returns the time to a first token that doesn't depend on the prompt.
	 * @param millis time of the latest first token
	 * @return time in milliseconds
	 */
	private double latencyMillis(double millis) {
		long nowMillis = this.clock.nowMillis();
		if (nowMillis - this.latencyIntervalStartMillis > LATENCY_INTERVAL_MILLIS) {
			this.latencyIntervalStartMillis = nowMillis;
			this.previousShortestMillis = this.shortestMillis;
			this.shortestMillis = Double.MAX_VALUE;
		}
		this.shortestMillis = Math.min(this.shortestMillis, millis);
		return LATENCY_FRACTION * Math.min(this.shortestMillis, this.previousShortestMillis);
	}

	private void record(int serverKey, double pace) {
		long nowMillis = this.clock.nowMillis();
		if (this.samplesByServer.size() >= MAX_SERVERS) {
			this.samplesByServer.values().removeIf((samples) -> nowMillis - samples.updatedMillis > FORGET_MILLIS);
		}
		if (this.samplesByServer.size() < MAX_SERVERS || this.samplesByServer.containsKey(serverKey)) {
			this.samplesByServer.computeIfAbsent(serverKey, (key) -> new Samples()).add(pace, nowMillis);
		}
	}

	private static double median(double[] values) {
		Arrays.sort(values);
		int middle = values.length / 2;
		return (values.length % 2 == 1) ? values[middle] : Math.sqrt(values[middle - 1] * values[middle]);
	}

	/** Measurements of one server. */
	private static final class Samples {

		private final double[] latest = new double[SAMPLE_COUNT];

		private int count;

		private double steadyPace;

		/** Sum of the logarithms of measured to steady pace, faded with their age. */
		private double logSum;

		/** Number of these measurements, faded with their age. */
		private double weight;

		private long updatedMillis;

		private void add(double pace, long nowMillis) {
			this.latest[this.count++ % SAMPLE_COUNT] = pace;
			this.steadyPace = median(Arrays.copyOf(this.latest, Math.min(this.count, SAMPLE_COUNT)));
			double remaining = remaining(nowMillis);
			this.logSum = this.logSum * remaining + Math.log(pace / this.steadyPace);
			this.weight = this.weight * remaining + 1;
			this.updatedMillis = nowMillis;
		}

		private double slowdownFactor(long nowMillis) {
			double remaining = remaining(nowMillis);
			double mean = this.logSum * remaining / (this.weight * remaining + NO_SLOWDOWN_WEIGHT);
			return Math.max(MIN_SLOWDOWN_FACTOR, Math.min(1, Math.exp(mean)));
		}

		private double remaining(long nowMillis) {
			return Math.exp((this.updatedMillis - nowMillis) / SLOWDOWN_MILLIS);
		}

	}

}
