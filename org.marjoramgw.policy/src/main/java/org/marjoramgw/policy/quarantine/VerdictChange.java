package org.marjoramgw.policy.quarantine;

import java.util.Optional;

/**
 * Change of the verdicts that all processes have in common.
 *
 * @param part the part that it concerns
 * @param verdict the new verdict, or empty if the part is cleared
 * @author The marjoramgw authors
 */
public record VerdictChange(PromptPartKey part, Optional<Verdict> verdict) {

	static VerdictChange of(Verdict verdict) {
		return new VerdictChange(verdict.part(), Optional.of(verdict));
	}

	static VerdictChange clear(PromptPartKey part) {
		return new VerdictChange(part, Optional.empty());
	}

}
