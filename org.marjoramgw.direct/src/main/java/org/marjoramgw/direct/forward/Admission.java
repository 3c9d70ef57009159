package org.marjoramgw.direct.forward;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

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
 * revoked key stops working even if the store is unreachable. A permanent rejection has a
 * shorter bound: the time in which a change takes effect. Once the last confirmation is
 * older, {@link #settle} reads the store before the decision, and if that fails the
 * request is rejected as {@link ResultCode#CONFIGURATION_STALE}, which the caller may
 * retry.
 *
 * @author The marjoramgw authors
 */
public final class Admission {

	private final ActiveRouting routing;

	private final LongSupplier maxAgeMillis;

	private final LongSupplier maxDenialAgeMillis;

	private final Supplier<CompletionStage<Boolean>> confirmation;

	/**
	 * Creates an admission check.
	 * @param routing the active configuration
	 * @param maxAgeMillis maximum age of the last confirmation for keys to be accepted,
	 * in milliseconds
	 * @param maxDenialAgeMillis the same for requests to be rejected permanently
	 * @param confirmation reads the configuration again; completes when the read has
	 * ended
	 */
	public Admission(ActiveRouting routing, LongSupplier maxAgeMillis, LongSupplier maxDenialAgeMillis,
			Supplier<CompletionStage<Boolean>> confirmation) {
		this.routing = routing;
		this.maxAgeMillis = maxAgeMillis;
		this.maxDenialAgeMillis = maxDenialAgeMillis;
		this.confirmation = confirmation;
	}

	/**
	 * Reads the configuration again if it would reject a request permanently, but was
	 * confirmed too long ago for that.
	 * @param request the request
	 * @return completes when the request can be decided on
	 */
	public CompletionStage<Boolean> settle(CallerRequest request) {
		Optional<Routing> current = this.routing.current();
		if (current.isEmpty() || mayDeny() || !isDenied(current.get(), request)) {
			return CompletableFuture.completedFuture(true);
		}
		return this.confirmation.get();
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
		Optional<Account> account = account(current, request);
		if (account.isEmpty()) {
			throw denied(ResultCode.UNKNOWN_ACCOUNT, "");
		}
		if (this.routing.ageMillis() >= this.maxAgeMillis.getAsLong()) {
			throw stale();
		}
		return admitted(current, route.get(), account);
	}

	private static boolean isDenied(Routing current, CallerRequest request) {
		return current.route(request.host(), request.path())
			.map((route) -> current.needsKey(route) && account(current, request).isEmpty())
			.orElse(true);
	}

	private static Optional<Account> account(Routing current, CallerRequest request) {
		return request.key().flatMap(current::account);
	}

	private static AdmittedRequest admitted(Routing current, Route route, Optional<Account> account) {
		int rank = current.rank(account, route);
		return new AdmittedRequest(route, account, rank, current.serverRank(rank, false),
				current.serverRank(rank, true), current.version());
	}

	private RequestRejectedException denied(ResultCode code, String detail) {
		return mayDeny() ? new RequestRejectedException(code, detail) : stale();
	}

	private RequestRejectedException stale() {
		return new RequestRejectedException(ResultCode.CONFIGURATION_STALE, this.routing.ageMillis() + " ms old");
	}

	private boolean mayDeny() {
		return this.routing.ageMillis() < Math.min(this.maxAgeMillis.getAsLong(), this.maxDenialAgeMillis.getAsLong());
	}

}
