package org.marjoramgw.load.arrival;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.marjoramgw.load.experiment.ClassLoad;
import org.marjoramgw.load.experiment.Experiment;
import org.marjoramgw.load.experiment.Phase;

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

	private final AccountChoice accounts;

	/**
	 * Creates a schedule.
	 * @param experiment the experiment
	 * @param accountWeights weights of the client accounts by name
	 */
	public ArrivalSchedule(Experiment experiment, Map<String, Integer> accountWeights) {
		this.experiment = experiment;
		this.accounts = new AccountChoice(accountWeights);
	}

	/**
	 * Draws the arrivals.
	 * @return the arrivals in the order of their times
	 */
	public List<Arrival> draw() {
		List<Arrival> arrivals = new ArrayList<>();
		long startMillis = 0;
		int phaseNumber = 0;
		for (Phase phase : this.experiment.phases()) {
			for (ClassLoad load : this.experiment.deployment().classLoads().values()) {
				Random random = random(phaseNumber, load);
				addBursts(arrivals, phase, startMillis, load, random);
				addFlood(arrivals, phase, startMillis, load, random);
			}
			startMillis += phase.durationMillis();
			phaseNumber++;
		}
		arrivals.sort(Comparator.comparingLong(Arrival::atMillis).thenComparing(Arrival::text));
		return arrivals;
	}

	private void addBursts(List<Arrival> arrivals, Phase phase, long startMillis, ClassLoad load, Random random) {
		double perMilli = perMilli(load, phase.percentOf(load.requestClass()));
		double burstsPerMilli = perMilli / load.burstCount();
		double atMillis = interval(burstsPerMilli, random);
		while (atMillis < phase.durationMillis()) {
			String account = this.accounts.draw(random);
			int count = geometric(load.burstCount(), random);
			for (int index = 0; index < count; index++) {
				long offset = (count > 1) ? (long) (random.nextDouble() * BURST_SPREAD_MILLIS) : 0;
				add(arrivals, startMillis + (long) atMillis + offset, load, account, random);
			}
			atMillis += interval(burstsPerMilli, random);
		}
	}

	private void addFlood(List<Arrival> arrivals, Phase phase, long startMillis, ClassLoad load, Random random) {
		if (phase.floodAccount().isEmpty()) {
			return;
		}
		double perMilli = perMilli(load, phase.percentOf(load.requestClass())) * phase.floodPercent() / PERCENT;
		double atMillis = interval(perMilli, random);
		while (atMillis < phase.durationMillis()) {
			add(arrivals, startMillis + (long) atMillis, load, phase.floodAccount(), random);
			atMillis += interval(perMilli, random);
		}
	}

	private void add(List<Arrival> arrivals, long atMillis, ClassLoad load, String account, Random random) {
		int tokens = load.isChat() ? answerTokens(load, random) : 0;
		String id = this.experiment.seed() + "-" + Long.toHexString(random.nextLong());
		arrivals.add(new Arrival(atMillis, load, account, tokens, id));
	}

	private Random random(int phaseNumber, ClassLoad load) {
		long seed = this.experiment.seed() * SEED_STRIDE + phaseNumber;
		return new Random(seed * SEED_STRIDE + load.requestClass().hashCode());
	}

	private static double perMilli(ClassLoad load, int percent) {
		return load.perMinuteCount() * percent / PERCENT / MINUTE_MILLIS;
	}

	private static double interval(double perMilli, Random random) {
		return (perMilli > 0) ? -Math.log(1 - random.nextDouble()) / perMilli : Double.MAX_VALUE;
	}

	private static int geometric(int mean, Random random) {
		int count = 1;
		while (random.nextDouble() < 1 - 1.0 / mean) {
			count++;
		}
		return count;
	}

	private static int answerTokens(ClassLoad load, Random random) {
		double spread = Math.exp(load.sigmaPercent() / PERCENT * random.nextGaussian());
		return (int) Math.max(1, Math.round(load.medianTokens() * spread));
	}

}
