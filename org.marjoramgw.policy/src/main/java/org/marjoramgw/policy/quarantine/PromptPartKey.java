package org.marjoramgw.policy.quarantine;

/**
 * Identifies a part of prompts as it is read by one model.
 *
 * @param model name of the model
 * @param part id of the part
 * @author The marjoramgw authors
 */
public record PromptPartKey(String model, String part) {

	@Override
	public String toString() {
		return this.model + "/" + this.part;
	}

}
