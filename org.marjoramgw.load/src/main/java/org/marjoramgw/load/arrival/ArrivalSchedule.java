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
 * Schedule of the arrivals of an experiment: for each phase and class a Poisson process
 * of bursts, each of one account.
 * <p>
 * The same experiment and seed give the same arrivals.
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
	 * @param accountWeights weights of the client accounts by name
	 */
	public ArrivalSchedule(Experiment experiment, Map<String, Integer> accountWeights) {
		this.experiment = experiment;
		this.accountSampler = new WeightedAccountSampler(accountWeights);
	}

	/**
	 * Draws the arrivals.
	 * @return the arrivals in the order of their times
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
		double perMilli = ratePerMilli(load, phase.percentOf(load.requestClass()));
		double burstsPerMilli = perMilli / load.meanBurstSize();
		double atMillis = sampleInterval(burstsPerMilli, random);
		while (atMillis < phase.durationMillis()) {
			String account = this.accountSampler.sample(random);
			int count = sampleGeometric(load.meanBurstSize(), random);
			for (int index = 0; index < count; index++) {
				long offset = (count > 1) ? (long) (random.nextDouble() * BURST_SPREAD_MILLIS) : 0;
				addArrival(arrivals, startMillis + (long) atMillis + offset, load, account, random);
			}
			atMillis += sampleInterval(burstsPerMilli, random);
		}
	}

	private void addFlood(List<Arrival> arrivals, Phase phase, long startMillis, RequestClassLoad load, Random random) {
		if (phase.floodAccount().isEmpty()) {
			return;
		}
		double perMilli = ratePerMilli(load, phase.percentOf(load.requestClass())) * phase.floodPercent() / PERCENT;
		double atMillis = sampleInterval(perMilli, random);
		while (atMillis < phase.durationMillis()) {
			addArrival(arrivals, startMillis + (long) atMillis, load, phase.floodAccount(), random);
			atMillis += sampleInterval(perMilli, random);
		}
	}

	private void addArrival(List<Arrival> arrivals, long atMillis, RequestClassLoad load, String account,
			Random random) {
		int tokens = load.isChat() ? sampleResponseTokens(load, random) : 0;
		String id = this.experiment.seed() + "-" + Long.toHexString(random.nextLong());
		arrivals.add(new Arrival(atMillis, load, account, tokens, id));
	}

	private Random newRandom(int phaseNumber, RequestClassLoad load) {
		long seed = this.experiment.seed() * SEED_STRIDE + phaseNumber;
		return new Random(seed * SEED_STRIDE + load.requestClass().hashCode());
	}

	private static double ratePerMilli(RequestClassLoad load, int percent) {
		return load.arrivalsPerMinute() * percent / PERCENT / MINUTE_MILLIS;
	}

	private static double sampleInterval(double perMilli, Random random) {
		return (perMilli > 0) ? -Math.log(1 - random.nextDouble()) / perMilli : Double.MAX_VALUE;
	}

	private static int sampleGeometric(int mean, Random random) {
		int count = 1;
		while (random.nextDouble() < 1 - 1.0 / mean) {
			count++;
		}
		return count;
	}

	private static int sampleResponseTokens(RequestClassLoad load, Random random) {
		double spread = Math.exp(load.sigmaPercent() / PERCENT * random.nextGaussian());
		return (int) Math.max(1, Math.round(load.medianTokens() * spread));
	}

}
