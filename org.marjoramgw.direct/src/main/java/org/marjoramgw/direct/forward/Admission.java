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
 * Decides whether the active configuration admits a request.
 * <p>
 * A key is accepted only while the configuration was confirmed recently, so that a
 * revoked key stops working even if the store is unreachable. A configuration that may be
 * outdated doesn't reject a request permanently either: such a request is rejected as
 * {@link ResultCode#CONFIGURATION_STALE}, which the caller may retry.
 *
 * @author The marjoramgw authors
 */
public final class Admission {

	private final ActiveRouting routing;

	private final LongSupplier maxAgeMillis;

	/**
	 * Creates an admission check.
	 * @param routing the active configuration
	 * @param maxAgeMillis maximum age of the last confirmation for keys to be accepted,
	 * in milliseconds
	 */
	public Admission(ActiveRouting routing, LongSupplier maxAgeMillis) {
		this.routing = routing;
		this.maxAgeMillis = maxAgeMillis;
	}

	/**
	 * Checks a request. Repeated immediately before each send.
	 * @param request the request
	 * @return the admitted request with its route and account
	 * @throws RequestRejectedException if the request is not allowed, or can't be checked
	 * with the present configuration
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
		int rank = current.rank(account, route);
		return new AdmittedRequest(route, account, rank, current.serverRank(rank, false),
				current.serverRank(rank, true), current.version());
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
