package org.marjoramgw.policy.quarantine;

import java.util.List;

/**
 * Decision that a part of prompts crashes backend servers.
 *
 * @param part the part
 * @param term number of the term, from 1, or from {@link #PROVISIONAL_TERM} if few
 * answers support the verdict; each trial starts another one
 * @param startMillis start of the term by the wall clock, in milliseconds
 * @param author process that issued this term
 * @param servers incarnations of the servers whose crashes led to the verdict
 * @author The marjoramgw authors
 */
public record Verdict(PromptPartKey part, int term, long startMillis, String author, List<String> servers) {

	/** Number of the first term. */
	public static final int FIRST_TERM = 1;

	/**
	 * Number of the first term of a provisional verdict. It lasts some twenty seconds, so
	 * that a part that is sound after all is soon let pass.
	 */
	public static final int PROVISIONAL_TERM = -4;

	/**
	 * Length of term {@link #FIRST_TERM}; each one is twice as long as the one before it.
	 */
	static final long FIRST_TERM_MILLIS = 600_000;

	private static final int MAX_DOUBLINGS = 5;

	/**
	 * Creates a verdict.
	 */
	public Verdict {
		servers = List.copyOf(servers);
	}

	/**
	 * Returns the length of the term.
	 * @return length in milliseconds
	 */
	public long termMillis() {
		int doublings = Math.min(this.term - FIRST_TERM, MAX_DOUBLINGS);
		return (doublings >= 0) ? FIRST_TERM_MILLIS << doublings : FIRST_TERM_MILLIS >> -doublings;
	}

	/**
	 * Creates the next term, which begins with a trial.
	 * @param nowMillis its start by the wall clock, in milliseconds
	 * @param newAuthor process that issues it
	 * @return the verdict with the next term
	 */
	Verdict next(long nowMillis, String newAuthor) {
		return new Verdict(this.part, this.term + 1, nowMillis, newAuthor, this.servers);
	}

}
