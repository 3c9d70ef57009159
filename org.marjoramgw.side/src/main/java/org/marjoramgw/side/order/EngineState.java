package org.marjoramgw.side.order;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * State published by an engine.
 *
 * @param models names of the loaded models
 * @param role role of the engine
 * @param fencing highest fencing number that the engine has seen
 * @author The marjoramgw authors
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record EngineState(@JsonProperty(value = "models", required = true) List<String> models,
		@JsonProperty(value = "role", required = true) String role,
		@JsonProperty(value = "fencing", required = true) long fencing) {
}
