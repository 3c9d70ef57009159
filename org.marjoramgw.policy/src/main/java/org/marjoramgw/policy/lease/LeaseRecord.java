package org.marjoramgw.policy.lease;

import java.util.List;

/**
 * Record of an acquisition, a renewal or a release of the lease.
 *
 * @param process id of the process
 * @param incarnation start of the process, in milliseconds since the Unix epoch
 * @param token fencing token, or {@link #ACQUIRING} if it is the offset of this record
 * @param sequence number of this record among those of its incarnation
 * @param released whether the lease is given up
 * @param sentMillis when the record was sent by the wall clock of its process, a hint
 * that may be wrong, in milliseconds since the Unix epoch
 * @param standbys ids of the processes that observe the lease continuously
 * @author The marjoramgw authors
 */
public record LeaseRecord(String process, long incarnation, long token, long sequence, boolean released,
		long sentMillis, List<String> standbys) {

	/** Token of a record that acquires the lease: the offset is not known before. */
	public static final long ACQUIRING = -1;

	/**
	 * Returns this record with its token.
	 * @param offset offset of the record
	 * @return the record, whose token is known
	 */
	LeaseRecord at(long offset) {
		return (this.token != ACQUIRING) ? this : new LeaseRecord(this.process, this.incarnation, offset, this.sequence,
				this.released, this.sentMillis, this.standbys);
	}

	boolean isOf(String otherProcess, long otherIncarnation) {
		return this.process.equals(otherProcess) && this.incarnation == otherIncarnation;
	}

}
