package org.marjoramgw.side.scheduler;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import com.codahale.metrics.MetricRegistry;
import org.marjoramgw.ManualMillisClock;
import org.marjoramgw.ResultCode;
import org.marjoramgw.claim.ClaimDecision;
import org.marjoramgw.claim.ClaimKey;
import org.marjoramgw.claim.ClaimStore;
import org.marjoramgw.claim.RecordedResult;
import org.marjoramgw.config.Configuration;
import org.marjoramgw.config.Limits;
import org.marjoramgw.config.RequestClass;
import org.marjoramgw.config.Service;
import org.marjoramgw.config.ServiceKind;
import org.marjoramgw.side.backend.BackendListener;
import org.marjoramgw.side.backend.BackendRequest;
import org.marjoramgw.side.backend.BackendResult;
import org.marjoramgw.trace.DecisionLog;
import org.marjoramgw.wire.BackendCall;
import org.marjoramgw.wire.Message;
import org.marjoramgw.wire.PeerIdentity;

/**
 * Test harness around a scheduler with two slots, a manual clock, and fakes of the
 * backend server, the claim store and the entries.
 *
 * @author The marjoramgw authors
 */
final class SchedulerHarness implements ClaimStore {

	static final long GRANT_TIMEOUT_MILLIS = 100;

	static final long RESPONSE_RETENTION_MILLIS = 5_000;

	final ManualMillisClock clock = new ManualMillisClock(1_000_000);

	final MetricRegistry registry = new MetricRegistry();

	final List<BackendRequest> startedRequests = new ArrayList<>();

	final List<String> cancelledExecutions = new ArrayList<>();

	final List<RecordedResult> recordedResults = new ArrayList<>();

	final List<ClaimKey> releasedClaims = new ArrayList<>();

	final Scheduler scheduler;

	private final Map<String, BackendListener> listeners = new HashMap<>();

	private final Deque<SchedulerCommand> commands = new ArrayDeque<>();

	private final Deque<CompletableFuture<ClaimDecision>> pendingClaims = new ArrayDeque<>();

	SchedulerHarness() {
		this.scheduler = new Scheduler(this.clock,
				new SchedulerParameters("side", "pool", true, RESPONSE_RETENTION_MILLIS), (request, listener) -> {
					this.startedRequests.add(request);
					this.listeners.put(request.executionId(), listener);
					return () -> this.cancelledExecutions.add(request.executionId());
				}, this, new TelemetrySinks(new DecisionLog(this.clock, 1_000), this.registry), this.commands::add);
		handle(new SchedulerCommand.ConfigurationChanged(configuration()));
	}

	RecordingLink connect(String entryId, long incarnation) {
		RecordingLink link = new RecordingLink(new PeerIdentity(entryId, "entry", "dal-a", incarnation, ""));
		handle(new SchedulerCommand.EntryConnected(link));
		return link;
	}

	void handle(SchedulerCommand command) {
		this.commands.add(command);
		handleCommands();
	}

	private void handleCommands() {
		while (!this.commands.isEmpty()) {
			this.scheduler.handle(this.commands.removeFirst());
		}
	}

	void send(RecordingLink link, Message message) {
		handle(new SchedulerCommand.EntryMessage(link, message));
	}

	void advance(long millis) {
		this.clock.advanceMillis(millis);
		handle(new SchedulerCommand.Tick());
	}

	void reserve(RecordingLink link, String id, String requestClass) {
		send(link, new Message.Reserve(id, 1, "assistant", "m", requestClass, "account", 4_000, 20_000, 10));
	}

	void run(RecordingLink link, String id) {
		send(link, new Message.Run(id, 1, call(true, "")));
	}

	void start(RecordingLink link, String id, String requestClass) {
		reserve(link, id, requestClass);
		run(link, id);
	}

	void receiveToken(String executionId, String text) {
		receivePart(executionId, text.getBytes(StandardCharsets.UTF_8));
	}

	void receivePart(String executionId, byte[] payload) {
		this.listeners.get(executionId).onPart(1, payload);
		handle(new SchedulerCommand.Tick());
	}

	void complete(String executionId) {
		this.listeners.get(executionId).onComplete(new BackendResult(ResultCode.OK, 200, "text/plain", "stop"));
		handle(new SchedulerCommand.Tick());
	}

	void fail(String executionId, ResultCode code) {
		this.listeners.get(executionId).onFailure(code);
		handle(new SchedulerCommand.Tick());
	}

	void decideClaim(ClaimDecision decision) {
		this.pendingClaims.removeFirst().complete(decision);
		handle(new SchedulerCommand.Tick());
	}

	static BackendCall call(boolean repeatable, String key) {
		return new BackendCall("POST", "/orders", "application/json", new byte[] { 1 }, "", repeatable, key);
	}

	@Override
	public CompletionStage<ClaimDecision> claim(ClaimKey key) {
		CompletableFuture<ClaimDecision> claim = new CompletableFuture<>();
		this.pendingClaims.add(claim);
		return claim;
	}

	@Override
	public void recordResult(ClaimKey key, RecordedResult result) {
		this.recordedResults.add(result);
	}

	@Override
	public void release(ClaimKey key) {
		this.releasedClaims.add(key);
	}

	@Override
	public void close() {
		// no resources to release
	}

	private static Configuration configuration() {
		Map<String, RequestClass> classes = new LinkedHashMap<>();
		classes.put("reply", new RequestClass("reply", 1, 500, 50, 10_000, 0, 4));
		classes.put("summary", new RequestClass("summary", 4, 500, 50, 10_000, 0, 4));
		Service service = new Service("assistant", ServiceKind.MODEL, "pool", List.of("m"), List.of(), List.of(),
				false);
		Limits limits = new Limits(1_024, "late-binding", 2, GRANT_TIMEOUT_MILLIS, "tiers", 2, 2, 2, 0, true, 10, 24);
		return new Configuration(1, Map.of("assistant", service), classes, Map.of(), List.of(), limits);
	}

	/**
	 * Connection that records the messages sent on it.
	 */
	static final class RecordingLink implements EntryLink {

		final List<Message> sent = new ArrayList<>();

		boolean hasOpenRequests;

		private final PeerIdentity peer;

		RecordingLink(PeerIdentity peer) {
			this.peer = peer;
		}

		@Override
		public PeerIdentity peer() {
			return this.peer;
		}

		@Override
		public void send(Message message) {
			this.sent.add(message);
		}

		@Override
		public void setOpenRequests(boolean open) {
			this.hasOpenRequests = open;
		}

		Message last() {
			return this.sent.get(this.sent.size() - 1);
		}

		/**
		 * Returns the result code of the last message if it is a refusal.
		 * @return the code, or {@code null} if the last message is not a refusal
		 */
		ResultCode refusal() {
			return (last() instanceof Message.Refusal refusal) ? ResultCode.ofNumber(refusal.code()).orElseThrow()
					: null;
		}

	}

}
