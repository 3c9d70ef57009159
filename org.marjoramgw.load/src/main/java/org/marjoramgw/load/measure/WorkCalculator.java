package org.marjoramgw.load.measure;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.marjoramgw.load.driver.RequestRecord;

/**
 * Computes useful and wasted work by comparing the tokens that the engines generated with
 * the tokens that the callers received.
 *
 * @author The marjoramgw authors
 */
final class WorkCalculator {

	private static final double PERCENT = 100;

	private final Map<String, RequestRecord> requestsById;

	private final Map<String, Long> wastedByCause = new TreeMap<>();

	private long generatedTokens;

	private long deliveredTokens;

	private long recomputedPrefillTokens;

	WorkCalculator(Map<String, RequestRecord> requests) {
		this.requestsById = requests;
	}

	WorkResult calculate(List<EngineExecution> executions, double goodputTokens, double goodputCalls) {
		Map<String, List<EngineExecution>> byRequest = new HashMap<>();
		executions
			.forEach((execution) -> byRequest.computeIfAbsent(execution.requestId(), (requestId) -> new ArrayList<>())
				.add(execution));
		byRequest.forEach(this::addRequest);
		long wasted = this.wastedByCause.values().stream().mapToLong(Long::longValue).sum();
		double wastedPercent = (this.generatedTokens > 0) ? PERCENT * wasted / this.generatedTokens : 0;
		return new WorkResult(goodputTokens, goodputCalls, this.generatedTokens, this.deliveredTokens, wasted,
				wastedPercent, this.wastedByCause, this.recomputedPrefillTokens);
	}

	private void addRequest(String requestId, List<EngineExecution> executions) {
		long generated = executions.stream().mapToLong(EngineExecution::generatedTokens).sum();
		this.generatedTokens += generated;
		for (EngineExecution execution : executions.subList(1, executions.size())) {
			this.recomputedPrefillTokens += execution.prefillTokens();
		}
		RequestRecord request = this.requestsById.get(requestId);
		if (request == null) {
			addWaste("no answer at the caller", generated);
		}
		else if (request.complete()) {
			this.deliveredTokens += request.tokens();
			addWaste("generated twice", Math.max(0, generated - request.tokens()));
		}
		else if (request.errorCode() > 0) {
			addWaste("ended with code " + request.errorCode(), generated);
		}
		else {
			addWaste("broken off at the caller", generated);
		}
	}

	private void addWaste(String cause, long tokens) {
		if (tokens > 0) {
			this.wastedByCause.merge(cause, tokens, Long::sum);
		}
	}

}
