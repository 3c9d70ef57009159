package org.marjoramgw.policy.quarantine;

import java.util.List;

/**
 * Decision that a part of prompts crashes backend servers.
 *
 * @param part the part
 * @param term number of the term, from 1; each trial starts another one
 * @param startMillis start of the term by the wall clock, in milliseconds
 * @param author process that issued this term
 * @param servers incarnations of the servers whose crashes led to the verdict
 * @author The marjoramgw authors
 */
public record Verdict(PromptPartKey part, int term, long startMillis, String author, List<String> servers) {

	/** Length of the first term; each further one is twice as long. */
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
		return FIRST_TERM_MILLIS << Math.min(Math.max(this.term - 1, 0), MAX_DOUBLINGS);
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
