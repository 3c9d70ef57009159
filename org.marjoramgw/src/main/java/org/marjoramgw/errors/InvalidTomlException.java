package org.marjoramgw.errors;

import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.marjoramgw.settings.Problem;

/**
 * Signals a settings or configuration text with one or more mistakes.
 *
 * @author The marjoramgw authors
 */
public final class InvalidTomlException extends CodedException {

	private static final long serialVersionUID = 1L;

	private final transient List<Problem> problems;

	/**
	 * Creates an exception.
	 * @param problems the mistakes, at least one
	 */
	public InvalidTomlException(List<Problem> problems) {
		super(problems.get(0).code(), sortedByLine(problems).map(Problem::toString).collect(Collectors.joining("\n")),
				null);
		this.problems = sortedByLine(problems).toList();
	}

	private static Stream<Problem> sortedByLine(List<Problem> problems) {
		// Values are checked before unknown keys are looked for, so they come out of
		// order.
		return problems.stream().sorted(Comparator.comparingInt(Problem::line));
	}

	/**
	 * Returns every mistake that was found.
	 * @return the mistakes in the order of the text
	 */
	public List<Problem> problems() {
		return this.problems;
	}

}
