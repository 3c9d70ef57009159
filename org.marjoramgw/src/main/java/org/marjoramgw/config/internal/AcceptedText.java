package org.marjoramgw.config.internal;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Text that was accepted as a revision.
 *
 * @param revision its revision
 * @param id id of the record that published it
 * @param operator who published it
 * @param timeMillis when the log took it, by the log's clock, in milliseconds
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
