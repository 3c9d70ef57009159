package org.marjoramgw.ctl.internal;

import java.util.List;

import org.marjoramgw.settings.Problem;

/**
 * Result of the check command, written as JSON.
 *
 * @param valid whether the configuration is valid
 * @param problems the problems found
 * @author The marjoramgw authors
 */
public record CheckReport(boolean valid, List<ReportedProblem> problems) {

	/**
	 * Creates a report.
	 * @param problems the problems found, empty if there are none
	 */
	public CheckReport(List<Problem> problems) {
		this(problems.isEmpty(), problems.stream().map(ReportedProblem::new).toList());
	}

	/**
	 * Problem in a configuration file.
	 *
	 * @param code number of the result code
	 * @param text text of the result code
	 * @param file name of the file
	 * @param line line number, starting at 1, or 0 if not known
	 * @param key dotted key of the setting
	 * @param expected description of the expected key or value
	 */
	public record ReportedProblem(int code, String text, String file, int line, String key, String expected) {

		private ReportedProblem(Problem problem) {
			this(problem.code().number(), problem.code().text(), problem.file(), problem.line(), problem.key(),
					problem.expected());
		}

	}

}
