package org.marjoramgw.config.internal;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Configuration text that was accepted as a revision.
 *
 * @param revision revision number of the text
 * @param id id of the publish record
 * @param operator name of the operator who published it
 * @param timeMillis time of the publish record by the log's clock, in milliseconds
 * @param text the TOML text
 * @author The marjoramgw authors
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record AcceptedText(@JsonProperty(value = "revision", required = true) long revision,
		@JsonProperty(value = "id", required = true) String id,
		@JsonProperty(value = "operator", required = true) String operator,
		@JsonProperty(value = "time_ms", required = true) long timeMillis,
		@JsonProperty(value = "text", required = true) String text) {
}
