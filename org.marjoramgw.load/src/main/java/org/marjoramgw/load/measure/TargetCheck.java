package org.marjoramgw.load.measure;

import org.marjoramgw.config.RequestClass;
import org.marjoramgw.load.driver.RequestRecord;
import org.marjoramgw.load.experiment.RequestClassLoad;

/**
 * Checks individual requests against the latency targets of their request class.
 *
 * @author The marjoramgw authors
 */
final class TargetCheck {

	private static final String NOT_RUN = "not_run";

	private final RequestClass requestClass;

	private final RequestClassLoad load;

	TargetCheck(RequestClass requestClass, RequestClassLoad load) {
		this.requestClass = requestClass;
		this.load = load;
	}

	boolean isAttained(RequestRecord request) {
		if (!request.complete() || request.misdelivered()
				|| request.completionMillis() > this.requestClass.completionMillis()) {
			return false;
		}
		return !this.load.isChat() || !this.load.streamed() || meetsStreamTargets(request);
	}

	boolean isRefused(RequestRecord request) {
		return !request.complete() && NOT_RUN.equals(request.outcome());
	}

	private boolean meetsStreamTargets(RequestRecord request) {
		return request.firstTokenMillis() <= this.requestClass.firstTokenMillis()
				&& request.gapP95Millis() <= this.requestClass.tokenGapMillis();
	}

}
