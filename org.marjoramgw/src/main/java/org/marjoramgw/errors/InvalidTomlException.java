package org.marjoramgw.errors;

import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.marjoramgw.settings.Problem;

/**
 * Signals a TOML document, settings or configuration, with one or more errors.
 *
 * @author The marjoramgw authors
 */
public final class InvalidTomlException extends CodedException {

	private static final long serialVersionUID = 1L;

	private final transient List<Problem> problems;

	/**
	 * Creates an exception.
	 * @param problems the errors, at least one
	 */
	public InvalidTomlException(List<Problem> problems) {
		super(problems.get(0).code(), sortedByLine(problems).map(Problem::toString).collect(Collectors.joining("\n")),
				null);
		this.problems = sortedByLine(problems).toList();
	}

	private static Stream<Problem> sortedByLine(List<Problem> problems) {
		// Unknown keys are found only after the values have been checked, so the problems
		// are not in the order of the document.
		return problems.stream().sorted(Comparator.comparingInt(Problem::line));
	}

	/**
	 * Returns all errors that were found.
	 * @return the errors in the order of their lines
	 */
	public List<Problem> problems() {
		return this.problems;
	}

}
