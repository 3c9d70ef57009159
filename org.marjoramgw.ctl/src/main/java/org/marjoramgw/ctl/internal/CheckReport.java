package org.marjoramgw.ctl.internal;

import java.util.List;

import org.marjoramgw.settings.Problem;

/**
 * Result of a check, for programs.
 *
 * @param valid whether the text has no mistakes
 * @param problems the mistakes
 * @author The marjoramgw authors
 */
public record CheckReport(boolean valid, List<ReportedProblem> problems) {

	/**
	 * Creates a report.
	 * @param problems the mistakes, empty if there are none
	 */
	public CheckReport(List<Problem> problems) {
		this(problems.isEmpty(), problems.stream().map(ReportedProblem::new).toList());
	}

	/**
	 * One mistake.
	 *
	 * @param code number of the kind of mistake
	 * @param text the kind of mistake, for people
	 * @param file name of the file
	 * @param line line number from 1, or 0 if not known
	 * @param key dotted key
	 * @param expected what was expected
	 */
	public record ReportedProblem(int code, String text, String file, int line, String key, String expected) {

		private ReportedProblem(Problem problem) {
			this(problem.code().number(), problem.code().text(), problem.file(), problem.line(), problem.key(),
					problem.expected());
		}

	}

}
