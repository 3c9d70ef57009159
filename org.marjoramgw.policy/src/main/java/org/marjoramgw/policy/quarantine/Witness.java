package org.marjoramgw.policy.quarantine;

import java.util.List;

/**
 * Request that was open at a backend server when the server crashed, and whose answer had
 * not begun.
 *
 * @param prompt id of the prompt, which is the same if the request is sent again
 * @param suspects parts of the prompt that may have caused the crash, in the order of the
 * prompt
 * @param answering whether the head of the answer had been received
 * @author The marjoramgw authors
 */
public record Witness(String prompt, List<PromptPartKey> suspects, boolean answering) {

	/**
	 * Creates a witness.
	 */
	public Witness {
		suspects = List.copyOf(suspects);
	}

	/**
	 * Returns a form for log lines.
	 * @return id of the prompt and its suspects; a prompt whose answer was about to begin
	 * ends with an exclamation mark
	 */
	@Override
	public String toString() {
		return this.prompt + (this.answering ? "!" : "") + this.suspects;
	}

	/**
	 * Tells whether a part is a suspect.
	 * @param part the part
	 * @return whether it is one of the suspects
	 */
	boolean accuses(PromptPartKey part) {
		return this.suspects.contains(part);
	}

	/**
	 * Returns the suspects that follow a part in the prompt.
	 * @param part the part
	 * @return the later suspects, empty if the part is no suspect
	 */
	List<PromptPartKey> suspectsAfter(PromptPartKey part) {
		int index = this.suspects.indexOf(part);
		return (index < 0) ? List.of() : this.suspects.subList(index + 1, this.suspects.size());
	}

}
