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
	 * Text published by an operator. The first valid publish record that is based on the
	 * current revision is accepted.
	 *
	 * @param id unique id of the record
	 * @param baseRevision revision that the text is based on
	 * @param sha256 SHA-256 digest of the text, in lower-case hexadecimal
	 * @param text the TOML text
	 * @param operator name of the operator who published it
	 */
	@JsonIgnoreProperties(ignoreUnknown = true)
	record Publish(@JsonProperty(value = "id", required = true) String id,
			@JsonProperty(value = "base_revision", required = true) long baseRevision,
			@JsonProperty(value = "sha256", required = true) String sha256,
			@JsonProperty(value = "text", required = true) String text,
			@JsonProperty(value = "operator", required = true) String operator) implements ConfigurationRecord {
	}

	/**
	 * Accepted text after all records before an offset. A reader starts from a checkpoint
	 * if the first records of the stream have expired.
	 *
	 * @param nextOffset offset of the first record that the checkpoint doesn't include
	 * @param accepted the accepted text
	 */
	@JsonIgnoreProperties(ignoreUnknown = true)
	record Checkpoint(@JsonProperty(value = "next_offset", required = true) long nextOffset,
			@JsonProperty(value = "accepted", required = true) AcceptedText accepted) implements ConfigurationRecord {
	}

}
