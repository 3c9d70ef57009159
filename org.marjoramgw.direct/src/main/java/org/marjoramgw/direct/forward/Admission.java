package org.marjoramgw.direct.forward;

import java.util.Optional;
import java.util.function.LongSupplier;

import org.marjoramgw.ResultCode;
import org.marjoramgw.direct.caller.CallerRequest;
import org.marjoramgw.direct.follow.ActiveRouting;
import org.marjoramgw.direct.model.Account;
import org.marjoramgw.direct.model.Route;
import org.marjoramgw.direct.model.Routing;
import org.marjoramgw.errors.RequestRejectedException;

/**
 * Decides whether the configuration in force allows a request.
 * <p>
 * A key counts only while the configuration is known to be recent, so that a revoked key
 * stops working also where the store can't be reached. For the same reason nothing is
 * denied for good by a configuration that may be old.
 *
 * @author The marjoramgw authors
 */
public final class Admission {

	private final ActiveRouting routing;

	private final LongSupplier maxAgeMillis;

	/**
	 * Creates an admission.
	 * @param routing the configuration in force
	 * @param maxAgeMillis greatest age of a confirmation that still admits keys, in
	 * milliseconds
	 */
	public Admission(ActiveRouting routing, LongSupplier maxAgeMillis) {
		this.routing = routing;
		this.maxAgeMillis = maxAgeMillis;
	}

	/**
	 * Checks a request; called again just before each send.
	 * @param request the request
	 * @return its route and account
	 * @throws RequestRejectedException if it is not allowed, or can't be judged now
	 */
	public AdmittedRequest admit(CallerRequest request) throws RequestRejectedException {
		Routing current = this.routing.current()
			.orElseThrow(() -> new RequestRejectedException(ResultCode.NO_CONFIGURATION, ""));
		Optional<Route> route = current.route(request.host(), request.path());
		if (route.isEmpty()) {
			throw denied(ResultCode.UNKNOWN_PATH, request.host() + request.path());
		}
		if (!current.needsKey(route.get())) {
			return admitted(current, route.get(), Optional.empty());
		}
		Optional<Account> account = request.key().flatMap(current::account);
		if (account.isEmpty()) {
			throw denied(ResultCode.UNKNOWN_ACCOUNT, "");
		}
		if (!isRecent()) {
			throw stale();
		}
		return admitted(current, route.get(), account);
	}

	private static AdmittedRequest admitted(Routing current, Route route, Optional<Account> account) {
		return new AdmittedRequest(route, account, current.rank(account, route), current.version());
	}

	private RequestRejectedException denied(ResultCode code, String detail) {
		return isRecent() ? new RequestRejectedException(code, detail) : stale();
	}

	private RequestRejectedException stale() {
		return new RequestRejectedException(ResultCode.CONFIGURATION_STALE, this.routing.ageMillis() + " ms old");
	}

	private boolean isRecent() {
		return this.routing.ageMillis() < this.maxAgeMillis.getAsLong();
	}

}
