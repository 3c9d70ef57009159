package org.marjoramgw.side.order;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Order sent to an engine.
 *
 * @param action requested action, for example {@link #LOAD_MODEL}
 * @param model name of the model
 * @param fencing fencing number of the process that sends the order
 * @author The marjoramgw authors
 */
public record EngineOrder(@JsonProperty("action") String action, @JsonProperty("model") String model,
		@JsonProperty("fencing") long fencing) {

	/** Action that loads a model. */
	public static final String LOAD_MODEL = "load_model";

}
