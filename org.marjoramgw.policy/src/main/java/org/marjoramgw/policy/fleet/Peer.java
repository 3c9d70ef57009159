package org.marjoramgw.policy.fleet;

import java.net.InetSocketAddress;

/**
 * What is known of one other entry process. Not thread-safe.
 *
 * @author The marjoramgw authors
 */
final class Peer {

	private static final long NEVER = Long.MIN_VALUE;

	private final String processId;

	private final int ringHash;

	private long incarnation;

	private InetSocketAddress address;

	private long sequence;

	private long heardMillis = NEVER;

	private long awaitedMillis = NEVER;

	private long knownMillis;

	private boolean heard;

	private boolean silent;

	private boolean listed;

	Peer(String processId, long incarnation, InetSocketAddress address, long nowMillis) {
		this.processId = processId;
		this.ringHash = FleetKeys.serverKey(processId);
		restart(incarnation, address, nowMillis);
	}

	String processId() {
		return this.processId;
	}

	/**
	 * Returns the place of the peer among all members.
	 * @return a hash of its id
	 */
	int ringHash() {
		return this.ringHash;
	}

	long incarnation() {
		return this.incarnation;
	}

	InetSocketAddress address() {
		return this.address;
	}

	long sequence() {
		return this.sequence;
	}

	boolean isHeard() {
		return this.heard;
	}

	boolean isSilent() {
		return this.silent;
	}

	boolean isListed() {
		return this.listed;
	}

	void setListed(boolean newListed) {
		this.listed = newListed;
	}

	/**
	 * Begins a new incarnation, of which nothing was heard yet.
	 * @param newIncarnation the incarnation
	 * @param newAddress its address
	 * @param nowMillis present time
	 */
	void restart(long newIncarnation, InetSocketAddress newAddress, long nowMillis) {
		this.incarnation = newIncarnation;
		this.address = newAddress;
		this.sequence = 0;
		this.silent = false;
		this.awaitedMillis = NEVER;
		this.knownMillis = nowMillis;
	}

	void onHeard(long newSequence, long nowMillis) {
		this.sequence = newSequence;
		this.heardMillis = nowMillis;
		this.heard = true;
		this.silent = false;
	}

	/**
	 * Records whether digests of this peer are expected, since each one of both is sent
	 * those of the other.
	 * @param awaited whether they are
	 * @param nowMillis present time
	 */
	void setAwaited(boolean awaited, long nowMillis) {
		if (!awaited) {
			this.awaitedMillis = NEVER;
		}
		else if (this.awaitedMillis == NEVER) {
			this.awaitedMillis = nowMillis;
		}
	}

	/**
	 * Restarts the times of silence, since nothing could be heard for a while.
	 * @param nowMillis present time
	 */
	void excuse(long nowMillis) {
		this.knownMillis = nowMillis;
		if (this.awaitedMillis != NEVER) {
			this.awaitedMillis = nowMillis;
		}
	}

	/**
	 * Marks the peer as not heard any more if its last digest is too old.
	 * @param limitMillis maximum age of the last digest
	 * @param nowMillis present time
	 * @return whether it was heard until now
	 */
	boolean expire(long limitMillis, long nowMillis) {
		boolean expired = this.heard && nowMillis - this.heardMillis >= limitMillis;
		this.heard &= !expired;
		return expired;
	}

	/**
	 * Marks the peer as silent if its digests were expected in vain for too long.
	 * @param limitMillis maximum time
	 * @param nowMillis present time
	 * @return whether it was not silent until now
	 */
	boolean fallSilent(long limitMillis, long nowMillis) {
		boolean fell = !this.silent && this.awaitedMillis != NEVER
				&& nowMillis - Math.max(this.awaitedMillis, this.heardMillis) >= limitMillis;
		this.silent |= fell;
		return fell;
	}

	/**
	 * Returns how long this incarnation has not been heard of.
	 * @param nowMillis present time
	 * @return time since its last digest, or since it became known, in milliseconds
	 */
	long unheardMillis(long nowMillis) {
		return nowMillis - Math.max(this.knownMillis, this.heardMillis);
	}

}
