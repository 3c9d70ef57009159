package org.marjoramgw.direct.forward;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import java.util.function.LongPredicate;
import java.util.stream.Collectors;

import org.marjoramgw.ResultCode;
import org.marjoramgw.direct.caller.CallerRequest;
import org.marjoramgw.direct.model.BackendServer;
import org.marjoramgw.direct.model.Route;
import org.marjoramgw.direct.model.Routing;
import org.marjoramgw.errors.RequestRejectedException;
import org.marjoramgw.operator.WhereReport;
import org.marjoramgw.policy.partition.PromptPartition;
import org.marjoramgw.policy.placement.ServerView;
import org.marjoramgw.policy.prefill.PrefillLimiter;
import org.marjoramgw.policy.prefill.PrefillQueue;
import org.marjoramgw.policy.waiting.RequestTime;
import org.marjoramgw.policy.waiting.Urgency;

/**
 * Explains where a request would go now, and why, without sending it.
 * <p>
 * The checks and the choice are those of {@link ForwardedRequest} in the same order, for
 * a request that arrives now on an open connection. What a choice changes is changed in
 * copies.
 *
 * @author The marjoramgw authors
 */
public final class RequestExplainer {

	/** Maximum number of servers in a report, which bounds its size. */
	private static final int MAX_SERVERS = 64;

	private final String processId;

	private final ForwardingContext context;

	private final LongPredicate mayBegin;

	private final Function<PromptPartition, ServerSelector> selectors;

	private final Function<ServerView, Map<String, Double>> estimates;

	private final Random random;

	/**
	 * Creates an explainer.
	 * @param processId id of this process
	 * @param context components of the forwarder
	 * @param mayBegin tells whether a request with a timeout in milliseconds may begin
	 * @param selectors creates a selector that changes no state that others see
	 * @param estimates further estimates of servers, by name
	 * @param random source of randomness that nothing else uses
	 */
	RequestExplainer(String processId, ForwardingContext context, LongPredicate mayBegin,
			Function<PromptPartition, ServerSelector> selectors, Function<ServerView, Map<String, Double>> estimates,
			Random random) {
		this.processId = processId;
		this.context = context;
		this.mayBegin = mayBegin;
		this.selectors = selectors;
		this.estimates = estimates;
		this.random = random;
	}

	/**
	 * Explains a request.
	 * @param described the request
	 * @param account name of the client account whose key it is to have, or empty
	 * @param service name of the service to select, or empty to select one by the weights
	 * @return the report
	 * @throws IllegalArgumentException if the route doesn't have this service
	 */
	public WhereReport explain(CallerRequest described, Optional<String> account, Optional<String> service) {
		Explanation explanation = new Explanation(
				account.flatMap(this::keyOf).map(described::withKey).orElse(described));
		try {
			explanation.decide(service);
		}
		catch (RequestRejectedException ex) {
			explanation.refusal = new WhereReport.Refusal(ex.code().number(), ex.code().text(), ex.code().httpStatus(),
					ex.detail());
		}
		return explanation.report();
	}

	private Optional<String> keyOf(String accountName) {
		return this.context.routing().current().flatMap((routing) -> routing.keyOf(accountName));
	}

	/** Explanation of one request. */
	private final class Explanation {

		private final CallerRequest caller;

		private final long configVersion;

		private WhereReport.Refusal refusal;

		private WhereReport.Match match;

		private WhereReport.Choice choice;

		private WhereReport.Wait turn;

		private WhereReport.Wait permit;

		private int serverCount;

		private List<WhereReport.Server> servers = List.of();

		private Explanation(CallerRequest caller) {
			this.caller = caller;
			this.configVersion = RequestExplainer.this.context.routing().current().map(Routing::version).orElse(0L);
		}

		private void decide(Optional<String> wantedService) throws RequestRejectedException {
			ForwardingContext shared = RequestExplainer.this.context;
			AdmittedRequest admitted = shared.admission().admit(this.caller);
			this.match = match(admitted, "");
			Route route = admitted.route();
			RequestTime time = route.requestTime(this.caller.deadlineMillis());
			if (!RequestExplainer.this.mayBegin.test(time.remainingMillis(0))) {
				throw new RequestRejectedException(ResultCode.ENTRY_LEAVING, "");
			}
			new GuardedPrompt(shared.promptGuard(), this.caller).peek();
			if (wantedService.isPresent() && !route.hasService(wantedService.get())) {
				throw new IllegalArgumentException("route " + route.name() + " has no service " + wantedService.get());
			}
			String service = wantedService
				.orElseGet(() -> route.selectService(RequestExplainer.this.random.nextDouble()));
			this.match = match(admitted, service);
			if (!time.maySend(0)) {
				throw new RequestRejectedException(ResultCode.TIMEOUT_BEFORE_SEND, "");
			}
			Urgency urgency = Urgency.read(admitted.rank(), shared.clock().now().monotonicMillis());
			OptionalInt before = shared.startLimiter().waitingBefore(urgency);
			this.turn = new WhereReport.Wait(before.isPresent(), before.orElse(0), limit(time.maxWaitMillis(0)));
			choose(route, service, urgency);
		}

		private void choose(Route route, String service, Urgency urgency) throws RequestRejectedException {
			ForwardingContext shared = RequestExplainer.this.context;
			PromptPartition partition = shared.promptPartition().copy();
			PromptRecord.start(partition, service, route, this.caller);
			ServerSelector selector = RequestExplainer.this.selectors.apply(partition);
			ServerSelector.Selection selection = selector.select(service, route, this.caller, (server) -> true);
			String chosenId = selection.server().map(BackendServer::id).orElse("");
			Set<String> candidateIds = selection.candidates().stream().map(ServerView::id).collect(Collectors.toSet());
			List<BackendServer> registered = shared.directory().registered(service);
			this.serverCount = registered.size();
			this.servers = registered.stream()
				.sorted(Comparator.comparing((BackendServer server) -> !server.id().equals(chosenId))
					.thenComparing((server) -> !candidateIds.contains(server.id()))
					.thenComparing(BackendServer::id))
				.limit(MAX_SERVERS)
				.map((server) -> describe(server, selector.view(server), server.id().equals(chosenId),
						candidateIds.contains(server.id()),
						shared.prefillLimiter().queue(server.id(), route.name(), urgency)))
				.toList();
			if (selection.server().isEmpty()) {
				throw new RequestRejectedException(ResultCode.NO_BACKEND,
						"service=" + service + " " + shared.directory().describe(service));
			}
			this.choice = new WhereReport.Choice(chosenId, selection.rule());
			if (AttemptLauncher.needsPermit(route, this.caller)) {
				PrefillQueue queue = shared.prefillLimiter().queue(chosenId, route.name(), urgency);
				this.permit = new WhereReport.Wait(!queue.admits(), queue.admits() ? 0 : queue.beforeCount(),
						PrefillLimiter.maxWaitMillis(route.targetLatencyMillis()));
			}
		}

		private WhereReport.Server describe(BackendServer server, ServerView view, boolean chosen, boolean candidate,
				PrefillQueue queue) {
			return new WhereReport.Server(server.id(), server.failureDomain(), chosen, candidate,
					RequestExplainer.this.context.directory().obstacle(server).orElse(""), view.suspect(), view.load(),
					queue.inFlightCount(), queue.waitingCount(), RequestExplainer.this.estimates.apply(view));
		}

		private WhereReport.Match match(AdmittedRequest admitted, String service) {
			Map<String, Double> weights = new LinkedHashMap<>();
			admitted.route().services().forEach((share) -> weights.put(share.name(), share.weight()));
			return new WhereReport.Match(admitted.route().name(),
					admitted.account().map((account) -> account.name()).orElse(""), admitted.rank(), service, weights);
		}

		private WhereReport report() {
			return new WhereReport(RequestExplainer.this.processId, this.configVersion,
					limit(RequestExplainer.this.context.routing().ageMillis()), this.refusal, this.match, this.choice,
					this.turn, this.permit, this.serverCount, this.servers);
		}

		private static long limit(long millis) {
			return (millis == Long.MAX_VALUE) ? -1 : millis;
		}

	}

}
