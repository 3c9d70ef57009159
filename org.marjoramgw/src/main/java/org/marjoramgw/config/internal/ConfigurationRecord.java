package org.marjoramgw.config.internal;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/**
 * Record of the stream {@code config}.
 *
 * @author The marjoramgw authors
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({ @JsonSubTypes.Type(value = ConfigurationRecord.Publish.class, name = "publish"),
		@JsonSubTypes.Type(value = ConfigurationRecord.Checkpoint.class, name = "checkpoint") })
public sealed interface ConfigurationRecord {

	/**
	 * An operator's text, accepted if it is the first valid one on the current revision.
	 *
	 * @param id unique id of the record
	 * @param baseRevision revision that the text was made from
	 * @param sha256 SHA-256 digest of the text, in lower-case hexadecimal
	 * @param text the TOML text
	 * @param operator who published it
	 */
	@JsonIgnoreProperties(ignoreUnknown = true)
	record Publish(@JsonProperty(value = "id", required = true) String id,
			@JsonProperty(value = "base_revision", required = true) long baseRevision,
			@JsonProperty(value = "sha256", required = true) String sha256,
			@JsonProperty(value = "text", required = true) String text,
			@JsonProperty(value = "operator", required = true) String operator) implements ConfigurationRecord {
	}

	/**
	 * Accepted state after every record before an offset; a reader whose first retained
	 * record isn't the first of the stream starts here.
	 *
	 * @param nextOffset first offset that the state doesn't reflect
	 * @param accepted the state
	 */
	@JsonIgnoreProperties(ignoreUnknown = true)
	record Checkpoint(@JsonProperty(value = "next_offset", required = true) long nextOffset,
			@JsonProperty(value = "accepted", required = true) AcceptedText accepted) implements ConfigurationRecord {
	}

}
