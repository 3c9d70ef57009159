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
	 * Returns the id of the claim that the record refers to.
	 * @return unique id of the claim
	 */
	String claimId();

	/**
	 * Returns the hash of the key that the record refers to.
	 * @return the hash as 32 hexadecimal digits
	 */
	String key();

	/**
	 * Claim on a key.
	 *
	 * @param claimId unique id of the claim
	 * @param key hash of the key
	 * @param request leading hexadecimal digits of the request's digest
	 * @param processId process that claims the key
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
	 * Result of the call that was executed under a claim.
	 *
	 * @param claimId unique id of the claim
	 * @param key hash of the key
	 * @param httpStatus HTTP status of the response
	 * @param contentType content type of the response
	 * @param kept whether the body is recorded; a body over the size limit isn't
	 * @param body body of the response, or an empty string if it isn't recorded
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
	 * Release of a claim under which nothing was executed or ever will be.
	 *
	 * @param claimId unique id of the claim
	 * @param key hash of the key
	 */
	@JsonIgnoreProperties(ignoreUnknown = true)
	record Release(@JsonProperty(value = "claim", required = true) String claimId,
			@JsonProperty(value = "key", required = true) String key) implements ClaimRecord {
	}

}
