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
 * Scheduler with two slots, a clock that stands still and fakes at its interfaces.
 *
 * @author The marjoramgw authors
 */
final class SchedulerHarness implements ClaimStore {

	static final long GRANT_TIMEOUT_MILLIS = 100;

	static final long RESPONSE_RETENTION_MILLIS = 5_000;

	final ManualMillisClock clock = new ManualMillisClock(1_000_000);

	final MetricRegistry registry = new MetricRegistry();

	final List<BackendRequest> started = new ArrayList<>();

	final List<String> cancelled = new ArrayList<>();

	final List<RecordedResult> recorded = new ArrayList<>();

	final List<ClaimKey> released = new ArrayList<>();

	final Scheduler scheduler;

	private final Map<String, BackendListener> listeners = new HashMap<>();

	private final Deque<SchedulerCommand> events = new ArrayDeque<>();

	private final Deque<CompletableFuture<ClaimDecision>> claims = new ArrayDeque<>();

	SchedulerHarness() {
		this.scheduler = new Scheduler(this.clock,
				new SchedulerParameters("side", "pool", true, RESPONSE_RETENTION_MILLIS), (request, listener) -> {
					this.started.add(request);
					this.listeners.put(request.executionId(), listener);
					return () -> this.cancelled.add(request.executionId());
				}, this, new TelemetrySinks(new DecisionLog(this.clock, 1_000), this.registry), this.events::add);
		handle(new SchedulerCommand.ConfigurationChanged(configuration()));
	}

	RecordingLink connect(String entryId, long incarnation) {
		RecordingLink link = new RecordingLink(new PeerIdentity(entryId, "entry", "dal-a", incarnation, ""));
		handle(new SchedulerCommand.EntryConnected(link));
		return link;
	}

	void handle(SchedulerCommand command) {
		this.events.add(command);
		handleEvents();
	}

	private void handleEvents() {
		while (!this.events.isEmpty()) {
			this.scheduler.handle(this.events.removeFirst());
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

	void token(String executionId, String text) {
		part(executionId, text.getBytes(StandardCharsets.UTF_8));
	}

	void part(String executionId, byte[] payload) {
		this.listeners.get(executionId).onPart(1, payload);
		handle(new SchedulerCommand.Tick());
	}

	void end(String executionId) {
		this.listeners.get(executionId).onComplete(new BackendResult(ResultCode.OK, 200, "text/plain", "stop"));
		handle(new SchedulerCommand.Tick());
	}

	void fail(String executionId, ResultCode code) {
		this.listeners.get(executionId).onFailure(code);
		handle(new SchedulerCommand.Tick());
	}

	void verdict(ClaimDecision verdict) {
		this.claims.removeFirst().complete(verdict);
		handle(new SchedulerCommand.Tick());
	}

	static BackendCall call(boolean repeatable, String key) {
		return new BackendCall("POST", "/orders", "application/json", new byte[] { 1 }, "", repeatable, key);
	}

	@Override
	public CompletionStage<ClaimDecision> claim(ClaimKey key) {
		CompletableFuture<ClaimDecision> claim = new CompletableFuture<>();
		this.claims.add(claim);
		return claim;
	}

	@Override
	public void recordResult(ClaimKey key, RecordedResult result) {
		this.recorded.add(result);
	}

	@Override
	public void release(ClaimKey key) {
		this.released.add(key);
	}

	@Override
	public void close() {
		// holds nothing
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
	 * Connection that keeps what was sent.
	 */
	static final class RecordingLink implements EntryLink {

		final List<Message> sent = new ArrayList<>();

		boolean open;

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
			this.open = open;
		}

		Message last() {
			return this.sent.get(this.sent.size() - 1);
		}

		/**
		 * Returns the code of the last refusal.
		 * @return the code, or {@code null} if the last message is another one
		 */
		ResultCode refusal() {
			return (last() instanceof Message.Refusal refusal) ? ResultCode.ofNumber(refusal.code()).orElseThrow()
					: null;
		}

	}

}
