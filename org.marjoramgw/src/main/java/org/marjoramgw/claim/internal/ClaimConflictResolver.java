package org.marjoramgw.claim.internal;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.marjoramgw.MillisClock;
import org.marjoramgw.ResultCode;
import org.marjoramgw.claim.ClaimDecision;
import org.marjoramgw.claim.ProcessIncarnation;
import org.marjoramgw.claim.RecordedResult;
import org.marjoramgw.errors.LogUnavailableException;
import org.marjoramgw.log.LogRecord;
import org.marjoramgw.log.LogService;
import org.marjoramgw.log.StartStream;

/**
 * Decides on a claim whose key is held by another claim.
 *
 * @author The marjoramgw authors
 */
public final class ClaimConflictResolver {

	private static final long HOLDER_TIMEOUT_MILLIS = 300_000;

	private final LogService log;

	private final StartStream starts;

	private final ProcessIncarnation self;

	private final MillisClock clock;

	private final ClaimRecordCodec codec;

	/**
	 * Creates a resolver.
	 * @param log the log service
	 * @param starts stream of process starts
	 * @param self this process
	 * @param clock the clock
	 * @param codec codec of the records
	 */
	public ClaimConflictResolver(LogService log, StartStream starts, ProcessIncarnation self, MillisClock clock,
			ClaimRecordCodec codec) {
		this.log = log;
		this.starts = starts;
		this.self = self;
		this.clock = clock;
		this.codec = codec;
	}

	ClaimDecision resolve(String stream, TruncatedSha256 requestHash, HeldClaim holder) {
		if (!holder.requestHash().equals(requestHash)) {
			return new ClaimDecision.Refused(ResultCode.KEY_REUSED);
		}
		if (holder.hasResult()) {
			return recordedResult(stream, holder);
		}
		boolean gone = isGone(holder);
		return new ClaimDecision.Refused(gone ? ResultCode.KEY_OUTCOME_UNKNOWN : ResultCode.KEY_IN_PROGRESS);
	}

	private ClaimDecision recordedResult(String stream, HeldClaim holder) {
		try {
			List<LogRecord> records = this.log.read(stream, holder.resultOffset(), 1).records();
			Optional<ClaimRecord> record = records.isEmpty() ? Optional.empty()
					: this.codec.decode(records.get(0).data());
			if (record.isPresent() && record.get() instanceof ClaimRecord.Result result && result.kept()
					&& result.claimId().equals(holder.claimId())) {
				return new ClaimDecision.Repeated(
						new RecordedResult(result.httpStatus(), result.contentType(), result.body()));
			}
		}
		catch (LogUnavailableException ex) {
			// The call was executed, so a result that says "not run" would be wrong.
		}
		return new ClaimDecision.Refused(ResultCode.ANSWER_NOT_KEPT);
	}

	private boolean isGone(HeldClaim holder) {
		if (holder.timeMillis() < this.clock.nowMillis() - HOLDER_TIMEOUT_MILLIS) {
			return true;
		}
		if (holder.processId().equals(this.self.processId())) {
			return holder.incarnation() < this.self.incarnation();
		}
		try {
			OptionalLong newest = this.starts.newestIncarnation(holder.processId());
			return newest.isPresent() && newest.getAsLong() > holder.incarnation();
		}
		catch (LogUnavailableException ex) {
			return false;
		}
	}

}
