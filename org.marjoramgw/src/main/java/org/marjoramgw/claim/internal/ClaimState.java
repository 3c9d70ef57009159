package org.marjoramgw.claim.internal;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.marjoramgw.log.LogRecord;

/**
 * State of the claims of one partition, derived by applying the records of its stream in
 * the order of their offsets.
 * <p>
 * A claim holds its key if no other claim holds the key at the claim's offset and no
 * earlier record releases the claim. A claim that doesn't hold its key at its own offset
 * never will, not even after the holder's release, since its process was told that it was
 * refused. Claims and releases are retained for a window, by the log's clock, and at most
 * up to a maximum number of keys.
 *
 * @author The marjoramgw authors
 */
public final class ClaimState {

	private final long windowMillis;

	private final int maxKeys;

	private final ClaimRecordCodec codec;

	private final Map<TruncatedSha256, HeldClaim> held = new LinkedHashMap<>();

	private final Map<String, Long> releasedAtMillis = new LinkedHashMap<>();

	private long nextOffset;

	private long evictedUntilMillis = Long.MIN_VALUE;

	/**
	 * Creates the state of an empty stream.
	 * @param windowMillis how long a record is retained, in milliseconds
	 * @param maxKeys maximum number of retained keys
	 * @param codec codec of the records
	 */
	public ClaimState(long windowMillis, int maxKeys, ClaimRecordCodec codec) {
		this.windowMillis = windowMillis;
		this.maxKeys = maxKeys;
		this.codec = codec;
	}

	/**
	 * Applies a record. A record that was already applied is ignored.
	 * @param record the record
	 */
	public void apply(LogRecord record) {
		if (record.offset() < this.nextOffset) {
			return;
		}
		this.nextOffset = record.offset() + 1;
		Optional<ClaimRecord> decoded = this.codec.decode(record.data());
		if (decoded.isPresent()) {
			apply(decoded.get(), record);
		}
		evict(record.timeMillis() - this.windowMillis);
	}

	/**
	 * Skips records that expired before they were read; they are older than the window.
	 * @param firstOffset first offset that the log still retains
	 */
	public void skipTo(long firstOffset) {
		this.nextOffset = Math.max(this.nextOffset, firstOffset);
	}

	/**
	 * Finds the claim that holds a key.
	 * @param key hash of the key
	 * @return the claim, or empty if the key is free
	 */
	public Optional<HeldClaim> holder(TruncatedSha256 key) {
		return Optional.ofNullable(this.held.get(key));
	}

	/**
	 * Tells whether a claim was released.
	 * @param claimId unique id of the claim
	 * @return whether a release record of the claim was applied and is retained
	 */
	public boolean isReleased(String claimId) {
		return this.releasedAtMillis.containsKey(claimId);
	}

	/**
	 * Returns the offset of the next record to apply.
	 * @return the offset
	 */
	public long nextOffset() {
		return this.nextOffset;
	}

	/**
	 * Returns the time of the newest claim that was evicted before the end of the window
	 * because there were more keys than the maximum.
	 * @return milliseconds by the log's clock, {@link Long#MIN_VALUE} if none was evicted
	 * early
	 */
	public long evictedUntilMillis() {
		return this.evictedUntilMillis;
	}

	/**
	 * Returns the number of retained keys.
	 * @return the count
	 */
	public int size() {
		return this.held.size();
	}

	private void apply(ClaimRecord decoded, LogRecord record) {
		if (decoded instanceof ClaimRecord.Claim claim) {
			applyClaim(claim, record.timeMillis());
		}
		if (decoded instanceof ClaimRecord.Result result) {
			TruncatedSha256 key = TruncatedSha256.parse(result.key());
			HeldClaim holder = this.held.get(key);
			if (isHeldBy(holder, result.claimId()) && !holder.hasResult()) {
				this.held.put(key, holder.withResult(record.offset()));
			}
		}
		if (decoded instanceof ClaimRecord.Release release) {
			applyRelease(release, record.timeMillis());
		}
	}

	private void applyClaim(ClaimRecord.Claim claim, long timeMillis) {
		if (!isReleased(claim.claimId())) {
			this.held.putIfAbsent(TruncatedSha256.parse(claim.key()),
					new HeldClaim(claim.claimId(), TruncatedSha256.parse(claim.request()), claim.processId(),
							claim.incarnation(), timeMillis, HeldClaim.NO_RESULT));
		}
	}

	private void applyRelease(ClaimRecord.Release release, long timeMillis) {
		TruncatedSha256 key = TruncatedSha256.parse(release.key());
		HeldClaim holder = this.held.get(key);
		if (isHeldBy(holder, release.claimId()) && holder.hasResult()) {
			// A call with a result was executed, so its key must not become free.
			return;
		}
		// Recorded even if the claim was not seen yet: a delayed append may add it later.
		this.releasedAtMillis.put(release.claimId(), timeMillis);
		if (isHeldBy(holder, release.claimId())) {
			this.held.remove(key);
		}
	}

	private static boolean isHeldBy(HeldClaim holder, String claimId) {
		return holder != null && holder.claimId().equals(claimId);
	}

	private void evict(long beforeMillis) {
		Iterator<HeldClaim> oldest = this.held.values().iterator();
		while (oldest.hasNext()) {
			long timeMillis = oldest.next().timeMillis();
			if (timeMillis >= beforeMillis && this.held.size() <= this.maxKeys) {
				break;
			}
			if (timeMillis >= beforeMillis) {
				this.evictedUntilMillis = Math.max(this.evictedUntilMillis, timeMillis);
			}
			oldest.remove();
		}
		Iterator<Long> oldestRelease = this.releasedAtMillis.values().iterator();
		while (oldestRelease.hasNext() && oldestRelease.next() < beforeMillis) {
			oldestRelease.remove();
		}
	}

}
