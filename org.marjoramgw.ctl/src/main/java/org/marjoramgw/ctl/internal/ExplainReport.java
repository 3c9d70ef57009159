package org.marjoramgw.ctl.internal;

import java.util.Comparator;
import java.util.List;

import org.marjoramgw.ResultCode;
import org.marjoramgw.trace.Decision;

/**
 * What every process decided about one request, in the order of time.
 *
 * @param requestId id of the request
 * @param steps the decisions
 * @param unreachable processes that could not be asked
 * @author The marjoramgw authors
 */
public record ExplainReport(String requestId, List<Step> steps, List<String> unreachable) {

	/**
	 * Creates an explanation from the processes' answers.
	 * @param requestId id of the request
	 * @param answers one answer for each VM
	 * @return the explanation
	 */
	public static ExplainReport of(String requestId, List<ProcessResponse<List<Decision>>> answers) {
		List<Step> steps = answers.stream()
			.filter(ProcessResponse::isSuccessful)
			.flatMap((answer) -> answer.value().stream().map((decision) -> Step.of(answer, decision)))
			.sorted(Comparator.comparingLong(Step::timeMillis))
			.toList();
		List<String> unreachable = answers.stream()
			.filter((answer) -> !answer.isSuccessful())
			.map((answer) -> answer.vm().id())
			.toList();
		return new ExplainReport(requestId, steps, unreachable);
	}

	/**
	 * Writes the explanation for people.
	 * @return one line for each decision
	 */
	public String toText() {
		TextTable table = new TextTable(Messages.EXPLAIN_HEADINGS);
		this.steps.forEach((step) -> table.add(Messages.time(step.timeMillis()), step.processId(), step.failureDomain(),
				step.step(), (step.code() == 0) ? "" : "E" + step.code(), step.text(), step.detail()));
		return table.toString();
	}

	/**
	 * One decision.
	 *
	 * @param timeMillis when, by the clock of its process, in milliseconds
	 * @param processId process that decided
	 * @param failureDomain failure domain of the process
	 * @param step what was decided
	 * @param code number of the result, or 0
	 * @param text text of the result, or an empty text
	 * @param detail details for people
	 */
	public record Step(long timeMillis, String processId, String failureDomain, String step, int code, String text,
			String detail) {

		private static Step of(ProcessResponse<?> answer, Decision decision) {
			String text = ResultCode.ofNumber(decision.code()).map(ResultCode::text).orElse("");
			return new Step(decision.timeMillis(), answer.vm().id(), answer.vm().failureDomain(), decision.step(),
					decision.code(), text, decision.detail());
		}

	}

}
