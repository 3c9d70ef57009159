package org.marjoramgw.errors;

import java.util.List;
import java.util.stream.Collectors;

import org.marjoramgw.settings.Problem;

/**
 * Signals a settings or configuration text with one or more mistakes.
 *
 * @author The marjoramgw authors
 */
public final class InvalidTextException extends CodedException {

	private static final long serialVersionUID = 1L;

	private final transient List<Problem> problems;

	/**
	 * Creates an exception.
	 * @param problems the mistakes, at least one
	 */
	public InvalidTextException(List<Problem> problems) {
		super(problems.get(0).code(), problems.stream().map(Problem::toString).collect(Collectors.joining("\n")), null);
		this.problems = List.copyOf(problems);
	}

	/**
	 * Returns every mistake that was found.
	 * @return the mistakes in the order of the text
	 */
	public List<Problem> problems() {
		return this.problems;
	}

}
