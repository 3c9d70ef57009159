package org.marjoramgw.direct.forward;

import java.util.Optional;

import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.marjoramgw.ResultCode;
import org.marjoramgw.direct.caller.CallerRequest;
import org.marjoramgw.direct.caller.HeadPreview;
import org.marjoramgw.direct.caller.UnreadRequest;
import org.marjoramgw.direct.model.Ranks;
import org.marjoramgw.direct.model.Route;
import org.marjoramgw.direct.model.Routing;
import org.marjoramgw.policy.waiting.Urgency;
import org.marjoramgw.time.ClockReading;

/**
 * Unread request, judged by its preview and the active configuration.
 *
 * @author The marjoramgw authors
 */
final class PreviewedRequest implements UnreadRequest {

	private final ForwardingContext context;

	private final CallerRequest caller;

	private final ClockReading arrived;

	/**
	 * Creates an unread request.
	 * @param context shared components
	 * @param preview preview of the request
	 * @param arrived when its first bytes were read
	 */
	PreviewedRequest(ForwardingContext context, HeadPreview preview, ClockReading arrived) {
		this.context = context;
		this.caller = context.callerDialect().decode(preview.toRequest());
		this.arrived = arrived;
	}

	@Override
	public Urgency urgency() {
		int rank = this.context.routing().current().flatMap(this::rank).orElse(Ranks.LEAST_URGENT);
		return Urgency.unread(rank, this.arrived.monotonicMillis());
	}

	@Override
	public long maxWaitMillis() {
		return this.context.requestTime(this.caller).maxWaitMillis(ageMillis());
	}

	@Override
	public HttpResponse refuse() {
		ResultCode code = ResultCode.TIMEOUT_BEFORE_SEND;
		Optional<Route> route = this.context.routing().route(this.caller.host(), this.caller.path());
		route.ifPresent((known) -> this.context.requestLog()
			.recordAttainment(known.name(), new AttemptHistory().attainment(code, known, ageMillis())));
		this.context.requestLog()
			.recordCompletion(code, this.caller.id(), route.map(Route::name).orElse(""), code.httpStatus(), ageMillis(),
					"unread, its connection waited to be opened");
		return this.context.callerDialect().withRequestId(ErrorResponses.of(code), this.caller.id());
	}

	private Optional<Integer> rank(Routing routing) {
		return routing.route(this.caller.host(), this.caller.path())
			.map((route) -> routing.rank(this.caller.key().flatMap(routing::account), route));
	}

	private long ageMillis() {
		return this.context.clock().ageMillis(this.arrived);
	}

}
