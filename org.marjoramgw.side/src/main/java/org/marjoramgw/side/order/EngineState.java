package org.marjoramgw.side.order;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Published state of an engine.
 *
 * @param models loaded models
 * @param role its role
 * @param fencing highest fencing number that it has seen
 * @author The marjoramgw authors
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record EngineState(@JsonProperty(value = "models", required = true) List<String> models,
		@JsonProperty(value = "role", required = true) String role,
		@JsonProperty(value = "fencing", required = true) long fencing) {
}
