package org.marjoramgw.direct.forward;

import java.util.Optional;
import java.util.concurrent.CompletionStage;

import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.marjoramgw.ResultCode;
import org.marjoramgw.direct.caller.CallerRequest;
import org.marjoramgw.direct.model.BackendServer;
import org.marjoramgw.direct.model.Route;
import org.marjoramgw.errors.RequestRejectedException;
import org.marjoramgw.http.HttpConnection;
import org.marjoramgw.policy.fleet.LoadObserver;
import org.marjoramgw.policy.prefill.PrefillLimiter;
import org.marjoramgw.policy.waiting.Urgency;

/**
 * Course of the attempts of one request from the choice of a server to the moment of
 * sending; thread-safe by the lock of its request.
 *
 * @author The marjoramgw authors
 */
final class AttemptLauncher {

	private final ForwardingContext context;

	private final RequestState state;

	private final LimitedStart limitedStart;

	private final Object lock;

	private final Listener listener;

	private final ServerNotices serverNotices;

	/**
	 * Creates a launcher.
	 * @param context shared components
	 * @param state state of the request
	 * @param limitedStart start of the request
	 * @param lock lock of the request, held by every caller of this class
	 * @param listener receiver of the result
	 */
	AttemptLauncher(ForwardingContext context, RequestState state, LimitedStart limitedStart, Object lock,
			Listener listener) {
		this.context = context;
		this.state = state;
		this.limitedStart = limitedStart;
		this.lock = lock;
		this.listener = listener;
		this.serverNotices = new ServerNotices(context);
	}

	/**
	 * Chooses a server and creates the attempt on it.
	 * @param reason result code if no server is left
	 * @return the attempt
	 * @throws RequestRejectedException if no further attempt is possible or allowed
	 */
	Attempt choose(ResultCode reason) throws RequestRejectedException {
		AttemptHistory history = this.state.history();
		if (!this.state.maySend()) {
			throw new RequestRejectedException(ResultCode.TIMEOUT_BEFORE_SEND, "");
		}
		Optional<BackendServer> server = history.mayTry()
				? this.context.serverSelector()
					.choose(this.state.service(), this.state.route(), this.state.caller(), this::mayTry)
				: Optional.empty();
		if (server.isEmpty()) {
			throw new RequestRejectedException(reason,
					"service=" + this.state.service() + " " + this.context.directory().describe(this.state.service()));
		}
		if (history.wasSent() && !this.context.retryBudget().tryRetry(this.state.service())) {
			throw new RequestRejectedException(ResultCode.RETRY_BUDGET_SPENT, "");
		}
		history.countTry();
		return new Attempt(server.get());
	}

	private boolean mayTry(BackendServer server) {
		return !this.state.history().excluded().contains(server.id()) && this.state.isSuitable(server);
	}

	/**
	 * Launches an attempt: waits for a prefill permit if it needs one, connects and
	 * sends.
	 * @param attempt the attempt
	 */
	void launch(Attempt attempt) {
		Route route = this.state.route();
		if (needsPermit(route, this.state.caller()) && !this.state.isResuming()) {
			acquirePrefillPermit(attempt, route);
		}
		else {
			connect(attempt);
		}
	}

	/**
	 * Tells whether a request needs a prefill permit of its server.
	 * @param route route of the request
	 * @param caller the request
	 * @return whether it does, unless it is resumed
	 */
	static boolean needsPermit(Route route, CallerRequest caller) {
		return route.isStreaming() && route.targetLatencyMillis() > 0 && caller.hasPrompt();
	}

	private void acquirePrefillPermit(Attempt attempt, Route route) {
		attempt.setPrefillPermit(this.context.prefillLimiter()
			.acquire(attempt.serverId(), route.name(), this.state.urgency(), route.targetLatencyMillis(),
					() -> onPermit(attempt)));
		if (!attempt.isStarted()) {
			if (this.context.directory().obstacle(attempt.server()).isPresent()) {
				connect(attempt);
				return;
			}
			attempt.beginWait();
			this.limitedStart.release();
			this.context.timers()
				.schedule(PrefillLimiter.maxWaitMillis(route.targetLatencyMillis()), () -> connectLate(attempt));
		}
	}

	private void onPermit(Attempt attempt) {
		synchronized (this.lock) {
			if (attempt.neverWaited()) {
				connect(attempt);
			}
			else if (!attempt.isEnded() && attempt.endWait()) {
				connectInTurn(attempt, this.state.urgency().admitted());
			}
		}
	}

	private void connectLate(Attempt attempt) {
		synchronized (this.lock) {
			if (!attempt.isEnded() && attempt.endWait()) {
				attempt.markLate();
				connectInTurn(attempt, this.state.urgency());
			}
		}
	}

	private void connectInTurn(Attempt attempt, Urgency urgency) {
		this.limitedStart.run(urgency, () -> connect(attempt));
	}

	private void connect(Attempt attempt) {
		synchronized (this.lock) {
			if (attempt.isEnded() || attempt.isStarted()) {
				return;
			}
			attempt.markStarted();
			this.state.history().onPermit(this.state.ageMillis());
			Optional<String> obstacle = this.context.directory().obstacle(attempt.server());
			if (obstacle.isPresent()) {
				moveAway(attempt, obstacle.get());
				return;
			}
			this.context.pool()
				.acquire(attempt.server().address(), !this.state.route().isRepeatable(), this.state.caller().id())
				.whenComplete((connection, failure) -> onConnection(attempt, connection, failure));
		}
	}

	private void onConnection(Attempt attempt, HttpConnection connection, Throwable failure) {
		synchronized (this.lock) {
			if (attempt.isEnded()) {
				if (connection != null) {
					connection.close();
				}
			}
			else if (failure != null) {
				this.context.health().onUnreachable(attempt.serverId());
				this.listener.onUnsendable(attempt, "connect failed: " + failure.getMessage());
			}
			else {
				attempt.setConnection(connection);
				this.state.history().onConnected(this.state.ageMillis());
				sendIfAllowed(attempt);
			}
		}
	}

	private void sendIfAllowed(Attempt attempt) {
		try {
			this.state.admit();
			Optional<String> obstacle = this.context.directory().obstacle(attempt.server());
			if (!this.state.route().hasService(this.state.service())) {
				this.state.selectService();
				this.listener.onUnsendable(attempt, "route no longer uses this service");
			}
			else if (!this.state.maySend()) {
				this.listener.onUnsendable(attempt, "deadline too close before sending");
			}
			else if (obstacle.isPresent()) {
				moveAway(attempt, obstacle.get());
			}
			else if (this.listener.isCallerDisconnected()) {
				this.listener.onCallerDisconnected();
			}
			else {
				this.state.prompt().checkBeforeSend();
				send(attempt);
			}
		}
		catch (RequestRejectedException ex) {
			this.listener.onRejected(ex);
		}
	}

	private void moveAway(Attempt attempt, String obstacle) {
		this.context.requestLog().countMovedRequest();
		this.listener.onUnsendable(attempt, "server not usable any more before sending: " + obstacle);
	}

	private void send(Attempt attempt) {
		Optional<String> lastEventId = this.state.isResuming() ? this.state.resumableBody().lastEventId()
				: Optional.empty();
		// The keys of a prompt are not computed if nobody observes the load.
		Optional<SendReport> report = (this.context.loadObserver() != LoadObserver.NONE)
				? Optional.of(SendReport.of(this.state, attempt.server())) : Optional.empty();
		if (report.isPresent() && report.get().isCold(this.context.loadObserver())) {
			attempt.markCold();
		}
		HttpRequest backendRequest = this.context.backendDialect()
			.toBackendRequest(this.state.request(),
					attempt.metadata(this.state.admitted(), this.state.remainingMillis(), lastEventId));
		attempt.markSent(this.context.clock().now().monotonicMillis());
		this.state.onSent(attempt.sentMillis());
		report.ifPresent((sent) -> attempt.setObserver(sent.report(this.context.loadObserver())));
		if (!this.state.route().isStreaming()) {
			attempt.setCountedRun(this.state.countRun());
		}
		CompletionStage<HttpResponse> head = attempt.connection().send(backendRequest, this.state.caller().id());
		// Before the listener, which may let the request wait for its turn again.
		this.limitedStart.release();
		this.listener.onSent(attempt, this.serverNotices.observe(attempt.server(), this.state.caller().id(),
				attempt.connection().isReused(), head));
	}

	/**
	 * Receiver of the result of a launch. Called with the lock of the request.
	 */
	interface Listener {

		/**
		 * Called when the request was sent.
		 * @param attempt the attempt
		 * @param response head of the response
		 */
		void onSent(Attempt attempt, CompletionStage<HttpResponse> response);

		/**
		 * Called when the request can't be sent to the server of the attempt.
		 * @param attempt the attempt
		 * @param detail the reason
		 */
		void onUnsendable(Attempt attempt, String detail);

		/**
		 * Called when the request must not be sent to any server.
		 * @param rejection the reason
		 */
		void onRejected(RequestRejectedException rejection);

		/**
		 * Checks the socket for a disconnect of the caller.
		 * @return whether the caller has disconnected
		 */
		boolean isCallerDisconnected();

		/**
		 * Called when the caller has disconnected before the request was sent.
		 */
		void onCallerDisconnected();

	}

}
