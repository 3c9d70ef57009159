package org.marjoramgw.claim.internal;

import java.util.concurrent.CompletableFuture;

import org.marjoramgw.claim.ClaimDecision;
import org.marjoramgw.claim.ClaimKey;

/**
 * Claim that waits for a decision.
 *
 * @author The marjoramgw authors
 */
public final class ClaimAttempt {

	private final ClaimKey key;

	private final TruncatedSha256 keyHash;

	private final TruncatedSha256 requestHash;

	private final String claimId;

	private final CompletableFuture<ClaimDecision> decision = new CompletableFuture<>();

	private boolean inLog;

	private boolean mayBeInLog;

	/**
	 * Creates an attempt.
	 * @param key the key
	 * @param claimId unique id of the claim
	 */
	public ClaimAttempt(ClaimKey key, String claimId) {
		this.key = key;
		this.keyHash = TruncatedSha256.of(key.account(), key.key());
		this.requestHash = TruncatedSha256.parse(key.requestSha256());
		this.claimId = claimId;
	}

	/**
	 * Returns the decision.
	 * @return completes with the decision
	 */
	public CompletableFuture<ClaimDecision> decision() {
		return this.decision;
	}

	ClaimKey key() {
		return this.key;
	}

	TruncatedSha256 keyHash() {
		return this.keyHash;
	}

	TruncatedSha256 requestHash() {
		return this.requestHash;
	}

	String claimId() {
		return this.claimId;
	}

	boolean isInLog() {
		return this.inLog;
	}

	/**
	 * Tells whether the log may contain a copy of the claim record, now or later.
	 * @return whether an append of the record succeeded or got no response
	 */
	boolean mayBeInLog() {
		return this.mayBeInLog;
	}

	void setInLog(boolean value) {
		this.inLog = value;
		this.mayBeInLog |= value;
	}

	void setMayBeInLog() {
		this.mayBeInLog = true;
	}

	ClaimRecord.Claim toRecord(String processId, long incarnation) {
		return new ClaimRecord.Claim(this.claimId, this.keyHash.toString(), this.requestHash.toString(), processId,
				incarnation, this.key.requestId());
	}

}
