package org.marjoramgw.claim.internal;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/**
 * Record of a claim stream.
 *
 * @author The marjoramgw authors
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({ @JsonSubTypes.Type(value = ClaimRecord.Claim.class, name = "claim"),
		@JsonSubTypes.Type(value = ClaimRecord.Result.class, name = "result"),
		@JsonSubTypes.Type(value = ClaimRecord.Release.class, name = "release") })
public sealed interface ClaimRecord {

	/**
	 * Returns the claim that the record is about.
	 * @return unique id of the claim
	 */
	String claimId();

	/**
	 * Returns the key that the record is about.
	 * @return its hash as 32 hexadecimal digits
	 */
	String key();

	/**
	 * Claim of a key.
	 *
	 * @param claimId unique id of the claim
	 * @param key hash of the key
	 * @param request first digits of the request's digest
	 * @param processId process that claims
	 * @param incarnation incarnation of that process
	 * @param requestId id of the request
	 */
	@JsonIgnoreProperties(ignoreUnknown = true)
	record Claim(@JsonProperty(value = "claim", required = true) String claimId,
			@JsonProperty(value = "key", required = true) String key,
			@JsonProperty(value = "request", required = true) String request,
			@JsonProperty(value = "process", required = true) String processId,
			@JsonProperty(value = "incarnation", required = true) long incarnation,
			@JsonProperty(value = "request_id", required = true) String requestId) implements ClaimRecord {
	}

	/**
	 * Result of the call that a claim stands for.
	 *
	 * @param claimId unique id of the claim
	 * @param key hash of the key
	 * @param httpStatus status of the answer
	 * @param contentType content type of the answer
	 * @param kept whether the body is recorded; it isn't if it is over its bound
	 * @param body body of the answer, or an empty text
	 */
	@JsonIgnoreProperties(ignoreUnknown = true)
	record Result(@JsonProperty(value = "claim", required = true) String claimId,
			@JsonProperty(value = "key", required = true) String key,
			@JsonProperty(value = "status", required = true) int httpStatus,
			@JsonProperty(value = "content_type", required = true) String contentType,
			@JsonProperty(value = "kept", required = true) boolean kept,
			@JsonProperty(value = "body", required = true) String body) implements ClaimRecord {
	}

	/**
	 * Notice that nothing ran, or ever will, under a claim.
	 *
	 * @param claimId unique id of the claim
	 * @param key hash of the key
	 */
	@JsonIgnoreProperties(ignoreUnknown = true)
	record Release(@JsonProperty(value = "claim", required = true) String claimId,
			@JsonProperty(value = "key", required = true) String key) implements ClaimRecord {
	}

}
