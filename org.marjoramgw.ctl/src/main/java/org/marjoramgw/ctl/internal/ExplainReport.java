package org.marjoramgw.ctl.internal;

import java.util.Comparator;
import java.util.List;

import org.marjoramgw.ResultCode;
import org.marjoramgw.trace.Decision;

/**
 * Decisions of all processes about one request, in order of time.
 *
 * @param requestId id of the request
 * @param steps the decisions
 * @param unreachable ids of the processes that could not be reached
 * @author The marjoramgw authors
 */
public record ExplainReport(String requestId, List<Step> steps, List<String> unreachable) {

	/**
	 * Creates a report from the responses of the processes.
	 * @param requestId id of the request
	 * @param responses one response for each VM
	 * @return the report
	 */
	public static ExplainReport of(String requestId, List<ProcessResponse<List<Decision>>> responses) {
		List<Step> steps = responses.stream()
			.filter(ProcessResponse::isSuccessful)
			.flatMap((response) -> response.value().stream().map((decision) -> Step.of(response, decision)))
			.sorted(Comparator.comparingLong(Step::timeMillis))
			.toList();
		List<String> unreachable = responses.stream()
			.filter((response) -> !response.isSuccessful())
			.map((response) -> response.vm().id())
			.toList();
		return new ExplainReport(requestId, steps, unreachable);
	}

	/**
	 * Formats the report as text.
	 * @return a table with one line for each decision
	 */
	public String toText() {
		TextTable table = new TextTable(Messages.EXPLAIN_HEADINGS);
		this.steps.forEach((step) -> table.add(Messages.time(step.timeMillis()), step.processId(), step.failureDomain(),
				step.step(), (step.code() == 0) ? "" : "E" + step.code(), step.text(), step.detail()));
		return table.toString();
	}

	/**
	 * One decision, or one line of a log.
	 *
	 * @param timeMillis time of the decision by the clock of its process, in milliseconds
	 * @param processId id of the process that decided, or the name of its log file
	 * @param failureDomain failure domain of the process, or an empty text if not known
	 * @param step kind of the decision, or {@code request} or {@code state} for a line of
	 * a log
	 * @param code number of the result, or 0 if there is none
	 * @param text text of the result, or an empty text
	 * @param detail details in plain text
	 */
	public record Step(long timeMillis, String processId, String failureDomain, String step, int code, String text,
			String detail) {

		private static Step of(ProcessResponse<?> response, Decision decision) {
			String text = ResultCode.ofNumber(decision.code()).map(ResultCode::text).orElse("");
			return new Step(decision.timeMillis(), response.vm().id(), response.vm().failureDomain(), decision.step(),
					decision.code(), text, decision.detail());
		}

	}

}
