package org.marjoramgw.direct.forward;

import java.util.List;

import org.marjoramgw.direct.caller.CallerRequest;
import org.marjoramgw.direct.model.BackendServer;
import org.marjoramgw.policy.fleet.FleetKeys;
import org.marjoramgw.policy.fleet.LoadObserver;
import org.marjoramgw.policy.fleet.SharedPart;

/**
 * What the observer of the load is told of a request that is sent.
 *
 * @param serverKey key of the server
 * @param sharedParts shared parts of the prompt in order
 * @param promptTokens all tokens of the prompt
 * @param targetMillis time after the send within which the first token is timely, in
 * milliseconds
 * @author The marjoramgw authors
 */
record SendReport(int serverKey, List<SharedPart> sharedParts, int promptTokens, long targetMillis) {

	/**
	 * A request that waited for long is late through no fault of its server, which gets
	 * at least this share of the target.
	 */
	private static final int MIN_TARGET_SHARE = 10;

	/**
	 * Creates the report on a request that is sent now.
	 * @param state state of the request
	 * @param server server that it is sent to
	 * @return the report
	 */
	static SendReport of(RequestState state, BackendServer server) {
		return of(state.caller(), server, state.route().targetLatencyMillis(), state.ageMillis(),
				state.remainingMillis());
	}

	/**
	 * Creates a report.
	 * @param caller decoded head of the request
	 * @param server server that it is sent to
	 * @param routeTargetMillis latency target of its route, 0 if there is none
	 * @param ageMillis its age
	 * @param remainingMillis time left for its answer, which applies without a target
	 * @return the report
	 */
	static SendReport of(CallerRequest caller, BackendServer server, long routeTargetMillis, long ageMillis,
			long remainingMillis) {
		long targetMillis = (routeTargetMillis > 0)
				? Math.max(routeTargetMillis / MIN_TARGET_SHARE, routeTargetMillis - ageMillis) : remainingMillis;
		return new SendReport(FleetKeys.serverKey(server.incarnation()), caller.sharedParts(), caller.allPromptTokens(),
				Math.max(1, targetMillis));
	}

	/**
	 * Tells whether the server has to prefill the shared parts of the prompt.
	 * @param observer observer of the load
	 * @return whether it has to
	 */
	boolean isCold(LoadObserver observer) {
		return observer.isCold(this.serverKey, this.sharedParts);
	}

	/**
	 * Gives the report to an observer.
	 * @param observer the observer
	 * @return observer of the further course of the request
	 */
	LoadObserver.RequestObserver report(LoadObserver observer) {
		return observer.onSent(this.serverKey, this.sharedParts, this.promptTokens, this.targetMillis);
	}

}
