package org.marjoramgw.side.order;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Order to an engine.
 *
 * @param action what to do, for example {@link #LOAD_MODEL}
 * @param model name of the model
 * @param fencing fencing number of the process that orders
 * @author The marjoramgw authors
 */
public record EngineOrder(@JsonProperty("action") String action, @JsonProperty("model") String model,
		@JsonProperty("fencing") long fencing) {

	/** Action that loads a model. */
	public static final String LOAD_MODEL = "load_model";

}
