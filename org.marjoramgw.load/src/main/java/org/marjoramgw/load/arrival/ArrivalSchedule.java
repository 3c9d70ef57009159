package org.marjoramgw.load.arrival;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.marjoramgw.load.experiment.Experiment;
import org.marjoramgw.load.experiment.Phase;
import org.marjoramgw.load.experiment.RequestClassLoad;

/**
 * Generates the arrivals of an experiment. For each phase and request class, bursts
 * arrive as a Poisson process, and all requests of a burst come from one client account.
 * <p>
 * The same experiment and seed always give the same arrivals.
 *
 * @author The marjoramgw authors
 */
public final class ArrivalSchedule {

	private static final double MINUTE_MILLIS = 60_000;

	private static final double PERCENT = 100;

	private static final long BURST_SPREAD_MILLIS = 50;

	private static final long SEED_STRIDE = 1_000_003;

	private final Experiment experiment;

	private final WeightedAccountSampler accountSampler;

	/**
	 * Creates a schedule.
	 * @param experiment the experiment
	 * @param accountWeights weights of the client accounts, by account name
	 */
	public ArrivalSchedule(Experiment experiment, Map<String, Integer> accountWeights) {
		this.experiment = experiment;
		this.accountSampler = new WeightedAccountSampler(accountWeights);
	}

	/**
	 * Generates the arrivals.
	 * @return the arrivals, sorted by arrival time
	 */
	public List<Arrival> generate() {
		List<Arrival> arrivals = new ArrayList<>();
		long startMillis = 0;
		int phaseNumber = 0;
		for (Phase phase : this.experiment.phases()) {
			for (RequestClassLoad load : this.experiment.deployment().loadsByClass().values()) {
				Random random = newRandom(phaseNumber, load);
				addBursts(arrivals, phase, startMillis, load, random);
				addFlood(arrivals, phase, startMillis, load, random);
			}
			startMillis += phase.durationMillis();
			phaseNumber++;
		}
		arrivals.sort(Comparator.comparingLong(Arrival::offsetMillis).thenComparing(Arrival::id));
		return arrivals;
	}

	private void addBursts(List<Arrival> arrivals, Phase phase, long startMillis, RequestClassLoad load,
			Random random) {
		double ratePerMilli = ratePerMilli(load, phase.percentOf(load.requestClass()));
		double burstsPerMilli = ratePerMilli / load.meanBurstSize();
		double phaseOffsetMillis = sampleInterval(burstsPerMilli, random);
		while (phaseOffsetMillis < phase.durationMillis()) {
			String account = this.accountSampler.sample(random);
			int burstSize = sampleGeometric(load.meanBurstSize(), random);
			for (int index = 0; index < burstSize; index++) {
				long spreadMillis = (burstSize > 1) ? (long) (random.nextDouble() * BURST_SPREAD_MILLIS) : 0;
				addArrival(arrivals, startMillis + (long) phaseOffsetMillis + spreadMillis, load, account, random);
			}
			phaseOffsetMillis += sampleInterval(burstsPerMilli, random);
		}
	}

	private void addFlood(List<Arrival> arrivals, Phase phase, long startMillis, RequestClassLoad load, Random random) {
		if (phase.floodAccount().isEmpty()) {
			return;
		}
		double ratePerMilli = ratePerMilli(load, phase.percentOf(load.requestClass())) * phase.floodPercent() / PERCENT;
		double phaseOffsetMillis = sampleInterval(ratePerMilli, random);
		while (phaseOffsetMillis < phase.durationMillis()) {
			addArrival(arrivals, startMillis + (long) phaseOffsetMillis, load, phase.floodAccount(), random);
			phaseOffsetMillis += sampleInterval(ratePerMilli, random);
		}
	}

	private void addArrival(List<Arrival> arrivals, long offsetMillis, RequestClassLoad load, String account,
			Random random) {
		int responseTokens = load.isChat() ? sampleResponseTokens(load, random) : 0;
		String id = this.experiment.seed() + "-" + Long.toHexString(random.nextLong());
		arrivals.add(new Arrival(offsetMillis, load, account, responseTokens, id));
	}

	private Random newRandom(int phaseNumber, RequestClassLoad load) {
		long seed = this.experiment.seed() * SEED_STRIDE + phaseNumber;
		return new Random(seed * SEED_STRIDE + load.requestClass().hashCode());
	}

	private static double ratePerMilli(RequestClassLoad load, int percent) {
		return load.arrivalsPerMinute() * percent / PERCENT / MINUTE_MILLIS;
	}

	private static double sampleInterval(double ratePerMilli, Random random) {
		return (ratePerMilli > 0) ? -Math.log(1 - random.nextDouble()) / ratePerMilli : Double.MAX_VALUE;
	}

	private static int sampleGeometric(int mean, Random random) {
		int count = 1;
		while (random.nextDouble() < 1 - 1.0 / mean) {
			count++;
		}
		return count;
	}

	private static int sampleResponseTokens(RequestClassLoad load, Random random) {
		double lengthFactor = Math.exp(load.sigmaPercent() / PERCENT * random.nextGaussian());
		return (int) Math.max(1, Math.round(load.medianTokens() * lengthFactor));
	}

}
