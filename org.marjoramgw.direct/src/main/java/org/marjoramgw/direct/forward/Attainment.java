package org.marjoramgw.direct.forward;

import java.util.Locale;

import org.marjoramgw.ExecutionOutcome;
import org.marjoramgw.ResultCode;
import org.marjoramgw.direct.model.Route;

/**
 * How a request met or missed the latency targets of its route.
 *
 * @author The marjoramgw authors
 */
enum Attainment {

	/** Complete, and every target was met. */
	IN_TIME,
	/** Complete, but the first event, or the response of a plain call, was late. */
	LATE_START,
	/** Complete and begun in time, but a pause between events was too long. */
	LATE_PAUSE,
	/** Ended without a complete response after it may have run. */
	BROKEN_OFF,
	/** Refused without having run. */
	REFUSED,
	/** Ended by its caller. */
	CALLER_LEFT;

	/**
	 * Classifies a request.
	 * @param code result code of the request
	 * @param route route of the request
	 * @param startMillis age of the request at its first event, or at the response of a
	 * plain call, in milliseconds
	 * @param pauseMillis longest pause between events, in milliseconds
	 * @return the attainment
	 */
	static Attainment of(ResultCode code, Route route, long startMillis, long pauseMillis) {
		if (code == ResultCode.CALLER_GONE) {
			return CALLER_LEFT;
		}
		if (code != ResultCode.OK) {
			return (code.outcome() == ExecutionOutcome.NOT_RUN) ? REFUSED : BROKEN_OFF;
		}
		if (route.targetLatencyMillis() > 0 && startMillis > route.targetLatencyMillis()) {
			return LATE_START;
		}
		return (pauseMillis > route.maxPauseMillis()) ? LATE_PAUSE : IN_TIME;
	}

	/**
	 * Returns the name of this attainment in metrics and log lines.
	 * @return the name in lower case
	 */
	String label() {
		return name().toLowerCase(Locale.ROOT);
	}

}
