package org.marjoramgw.load.measure;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.HdrHistogram.AbstractHistogram;
import org.HdrHistogram.Histogram;
import org.marjoramgw.config.Configuration;
import org.marjoramgw.config.RequestClass;
import org.marjoramgw.load.arrival.Arrival;
import org.marjoramgw.load.driver.RequestRecord;
import org.marjoramgw.load.experiment.Experiment;
import org.marjoramgw.load.experiment.RequestClassLoad;

/**
 * Computes the measures of a run from its requests and the engines' executions.
 *
 * @author The marjoramgw authors
 */
final class ResultBuilder {

	private static final int HISTOGRAM_SIGNIFICANT_DIGITS = 3;

	private static final double PERCENT = 100;

	private static final double SECOND_MILLIS = 1_000;

	private final Experiment experiment;

	private final Configuration configuration;

	private final List<Arrival> arrivals;

	private final Map<String, List<RequestRecord>> requestsByClass;

	private final Map<String, RequestRecord> requestsById;

	private final SlotTimeUsage slotTime;

	private final Map<String, Map<Integer, long[]>> windowCountsByClass = new HashMap<>();

	ResultBuilder(Experiment experiment, Configuration configuration, List<Arrival> arrivals,
			List<RequestRecord> requests, long startMillis) {
		this.experiment = experiment;
		this.configuration = configuration;
		this.arrivals = arrivals;
		this.requestsByClass = requests.stream().collect(Collectors.groupingBy(RequestRecord::requestClass));
		this.requestsById = requests.stream()
			.filter((request) -> !request.requestId().isEmpty())
			.collect(Collectors.toMap(RequestRecord::requestId, Function.identity(), (first, second) -> first));
		this.slotTime = new SlotTimeUsage(startMillis, experiment.windowMillis(), windowCount());
		experiment.deployment()
			.loadsByClass()
			.keySet()
			.forEach((name) -> this.windowCountsByClass.put(name, countByWindow(name)));
	}

	List<ClassResult> classResults(Map<String, ? extends AbstractHistogram> gaps, List<EngineExecution> executions,
			long nowMillis) {
		this.slotTime.addExecutions(executions, this.requestsById, nowMillis);
		this.requestsByClass.forEach((name, requests) -> {
			TargetCheck check = targetCheckOf(name);
			requests.forEach((request) -> this.slotTime.addRequest(request, check.isRefused(request)));
		});
		List<ClassResult> results = new ArrayList<>();
		for (RequestClassLoad load : this.experiment.deployment().loadsByClass().values()) {
			AbstractHistogram histogram = gaps.get(load.requestClass());
			results
				.add(classResult(load, (histogram != null) ? histogram : new Histogram(HISTOGRAM_SIGNIFICANT_DIGITS)));
		}
		results.sort(Comparator.comparingInt(ClassResult::tier).thenComparing(ClassResult::name));
		return results;
	}

	List<AccountResult> accountResults() {
		Map<String, long[]> counts = new TreeMap<>();
		this.requestsByClass.forEach((name, requests) -> {
			TargetCheck check = targetCheckOf(name);
			for (RequestRecord request : requests) {
				long[] count = counts.computeIfAbsent(request.account(), (account) -> new long[2]);
				count[0]++;
				count[1] += check.isAttained(request) ? 1 : 0;
			}
		});
		List<AccountResult> results = new ArrayList<>();
		counts.forEach(
				(account, count) -> results.add(new AccountResult(account, count[0], PERCENT * count[1] / count[0])));
		return results;
	}

	WorkResult workResult(List<EngineExecution> executions) {
		double seconds = this.experiment.durationMillis() / SECOND_MILLIS;
		long tokens = 0;
		long calls = 0;
		for (RequestClassLoad load : this.experiment.deployment().loadsByClass().values()) {
			TargetCheck check = targetCheckOf(load.requestClass());
			for (RequestRecord request : requestsOf(load.requestClass())) {
				if (check.isAttained(request)) {
					tokens += load.isChat() ? request.tokens() : 0;
					calls += load.isChat() ? 0 : 1;
				}
			}
		}
		return new WorkCalculator(this.requestsById).calculate(executions, tokens / seconds, calls / seconds);
	}

	List<WindowResult> windowResults() {
		List<WindowResult> windows = new ArrayList<>();
		for (int window = 0; window < windowCount(); window++) {
			Map<String, Double> attainment = new TreeMap<>();
			Map<String, Long> firstTokens = new TreeMap<>();
			for (String name : this.experiment.deployment().loadsByClass().keySet()) {
				addWindowMeasures(name, window, attainment, firstTokens);
			}
			windows.add(new WindowResult(window * this.experiment.windowMillis(), attainment, firstTokens));
		}
		return windows;
	}

	private void addWindowMeasures(String name, int window, Map<String, Double> attainment,
			Map<String, Long> firstTokens) {
		List<RequestRecord> arrived = requestsOf(name).stream()
			.filter((request) -> windowOf(request.arrivalMillis()) == window)
			.toList();
		Percentiles firstToken = Percentiles.of(firstTokenHistogram(arrived));
		if (firstToken.count() > 0) {
			firstTokens.put(name, firstToken.p95Millis());
		}
		long[] counts = this.windowCountsByClass.get(name).get(window);
		if (counts != null) {
			attainment.put(name, PERCENT * counts[1] / counts[0]);
		}
	}

	private ClassResult classResult(RequestClassLoad load, AbstractHistogram gaps) {
		String name = load.requestClass();
		RequestClass requestClass = this.configuration.classes().get(name);
		TargetCheck check = targetCheckOf(name);
		List<RequestRecord> requests = requestsOf(name);
		long arrived = this.arrivals.stream().filter((arrival) -> arrival.load() == load).count();
		long attained = requests.stream().filter(check::isAttained).count();
		long complete = requests.stream().filter(RequestRecord::complete).count();
		long refused = requests.stream().filter(check::isRefused).count();
		WorstWindow worst = findWorstWindow(name);
		double slotShare = load.isChat() ? this.slotTime.sharePercent(name) : -1;
		double floorShare = load.isChat() ? this.slotTime.minWindowSharePercent(name, requestClass.floorPercent()) : -1;
		return new ClassResult(name, requestClass.tier(), arrived, attained, complete - attained, refused,
				arrived - complete - refused, (arrived > 0) ? PERCENT * attained / arrived : PERCENT, worst.percent(),
				worst.startMillis(), Percentiles.of(firstTokenHistogram(requests)), Percentiles.of(gaps),
				Percentiles.of(completionHistogram(requests)), slotShare, floorShare, requestClass.floorPercent());
	}

	private WorstWindow findWorstWindow(String name) {
		WorstWindow worst = new WorstWindow(PERCENT, 0);
		for (Map.Entry<Integer, long[]> window : this.windowCountsByClass.get(name).entrySet()) {
			long[] counts = window.getValue();
			double percent = PERCENT * counts[1] / counts[0];
			if (counts[0] >= this.experiment.minWindowRequests() && percent < worst.percent()) {
				worst = new WorstWindow(percent, window.getKey() * this.experiment.windowMillis());
			}
		}
		return worst;
	}

	private Map<Integer, long[]> countByWindow(String name) {
		Map<Integer, long[]> counts = new TreeMap<>();
		for (Arrival arrival : this.arrivals) {
			if (arrival.load().requestClass().equals(name)) {
				counts.computeIfAbsent(windowOf(arrival.offsetMillis()), (window) -> new long[2])[0]++;
			}
		}
		TargetCheck check = targetCheckOf(name);
		requestsOf(name).stream()
			.filter(check::isAttained)
			.forEach((request) -> counts.get(windowOf(request.arrivalMillis()))[1]++);
		return counts;
	}

	private TargetCheck targetCheckOf(String name) {
		return new TargetCheck(this.configuration.classes().get(name),
				this.experiment.deployment().loadsByClass().get(name));
	}

	private List<RequestRecord> requestsOf(String name) {
		return this.requestsByClass.getOrDefault(name, List.of());
	}

	private int windowOf(long atMillis) {
		return (int) Math.min(atMillis / this.experiment.windowMillis(), windowCount() - 1);
	}

	private int windowCount() {
		return (int) Math.max(1, this.experiment.durationMillis() / this.experiment.windowMillis());
	}

	private static Histogram firstTokenHistogram(List<RequestRecord> requests) {
		Histogram histogram = new Histogram(HISTOGRAM_SIGNIFICANT_DIGITS);
		requests.stream()
			.filter((request) -> request.firstTokenMillis() >= 0 && request.tokens() > 0 || request.complete())
			.forEach((request) -> histogram.recordValue(request.firstTokenMillis()));
		return histogram;
	}

	private static Histogram completionHistogram(List<RequestRecord> requests) {
		Histogram histogram = new Histogram(HISTOGRAM_SIGNIFICANT_DIGITS);
		requests.stream()
			.filter(RequestRecord::complete)
			.forEach((request) -> histogram.recordValue(request.completionMillis()));
		return histogram;
	}

	/**
	 * Window with the lowest attainment.
	 *
	 * @param percent attainment, in percent
	 * @param startMillis start of the window, in milliseconds after the start of the
	 * first phase
	 */
	private record WorstWindow(double percent, long startMillis) {
	}

}
