package org.marjoramgw.direct.quarantine;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;

import org.marjoramgw.MillisClock;
import org.marjoramgw.direct.backend.ServerHealth;
import org.marjoramgw.direct.caller.CallerRequest;
import org.marjoramgw.direct.follow.AppendableTopic;
import org.marjoramgw.direct.follow.KeyedRecord;
import org.marjoramgw.direct.follow.TopicListener;
import org.marjoramgw.direct.model.BackendServer;
import org.marjoramgw.http.HttpConnector;
import org.marjoramgw.policy.quarantine.CrashReport;
import org.marjoramgw.policy.quarantine.PromptPartKey;
import org.marjoramgw.policy.quarantine.Quarantine;
import org.marjoramgw.policy.quarantine.Verdict;
import org.marjoramgw.policy.quarantine.VerdictChange;
import org.marjoramgw.policy.quarantine.Witness;
import org.marjoramgw.policy.retry.Backoff;
import org.marjoramgw.time.ClockReading;
import org.marjoramgw.time.Timers;
import org.tinylog.Logger;

/**
 * Guard that follows the quarantine of all processes; thread-safe.
 *
 * @author The marjoramgw authors
 */
public final class QuarantineGuard implements PromptGuard, TopicListener {

	/** Interval at which accused parts are decided on. */
	private static final long ADVANCE_INTERVAL_MILLIS = 200;

	private static final int MAX_LOGGED_WITNESSES = 8;

	private final String processId;

	private final Quarantine quarantine;

	private final MillisClock clock;

	private final Timers timers;

	private final CrashDetector detector;

	private final RecordSender sender;

	private final Set<WatchedRequest> watched = ConcurrentHashMap.newKeySet();

	/**
	 * Creates a guard.
	 * @param processId id of this process
	 * @param quarantine the decisions
	 * @param topic topic that all processes share
	 * @param connector connector that checks servers
	 * @param health failure state of backend servers
	 * @param clock monotonic clock
	 * @param timers timers
	 * @param backoff delays before failed appends are repeated
	 */
	public QuarantineGuard(String processId, Quarantine quarantine, AppendableTopic topic, HttpConnector connector,
			ServerHealth health, MillisClock clock, Timers timers, Backoff backoff) {
		this.processId = processId;
		this.quarantine = quarantine;
		this.clock = clock;
		this.timers = timers;
		this.detector = new CrashDetector(connector, health, clock, timers, this::report);
		this.sender = new RecordSender(topic, timers, backoff);
	}

	/**
	 * Starts to decide on accused parts at a regular interval.
	 */
	public void start() {
		for (VerdictChange change : this.quarantine.advance()) {
			Logger.info("quarantine: {} {}", change.verdict().isPresent() ? "sharing the verdict on" : "clearing",
					describe(change.part()));
			this.sender.send(() -> QuarantineCodec.encode(change));
			change.verdict().ifPresent(this::notifyWatched);
		}
		this.timers.schedule(ADVANCE_INTERVAL_MILLIS, this::start);
	}

	/**
	 * Returns the number of parts that are refused at present.
	 * @return the number of verdicts
	 */
	public int verdictCount() {
		return this.quarantine.verdicts().size();
	}

	@Override
	public Optional<Verdict> check(CallerRequest request) {
		return this.quarantine.check(request.model(), request.sharedPartIds());
	}

	@Override
	public Optional<Verdict> peek(CallerRequest request) {
		return this.quarantine.peek(request.model(), request.sharedPartIds());
	}

	@Override
	public Optional<Verdict> checkBeforeSend(CallerRequest request) {
		return this.quarantine.checkBeforeSend(request.model(), request.sharedPartIds());
	}

	@Override
	public Watch watch(CallerRequest request, Runnable onQuarantined) {
		WatchedRequest watch = new WatchedRequest(request, onQuarantined);
		this.watched.add(watch);
		return () -> this.watched.remove(watch);
	}

	@Override
	public void onAnswer(CallerRequest request) {
		this.quarantine.onAnswer(request.model(), request.sharedPartIds());
	}

	@Override
	public CompletionStage<Boolean> onUnanswered(BackendServer server, CallerRequest request, boolean answering,
			long sentMillis) {
		List<PromptPartKey> suspects = this.quarantine.suspects(request.model(), request.sharedPartIds(), sentMillis);
		if (suspects.isEmpty()) {
			return CompletableFuture.completedFuture(true);
		}
		return this.detector.check(server, new Witness(request.promptId(), suspects, answering))
			.thenApply((crashed) -> !crashed || this.quarantine.isTrusted(request.model(), request.sharedPartIds()));
	}

	@Override
	public void onSnapshot(List<KeyedRecord> records) {
		List<Verdict> verdicts = records.stream()
			.flatMap((record) -> QuarantineCodec.decodeVerdict(record).stream())
			.toList();
		verdicts.forEach(QuarantineGuard::logVerdict);
		this.quarantine.onSnapshot(verdicts);
	}

	@Override
	public void onRecords(List<KeyedRecord> records) {
		records.forEach(this::onRecord);
	}

	@Override
	public void onConfirmed(ClockReading confirmedAt) {
		// Verdicts hold whether or not they were confirmed lately.
	}

	@Override
	public void onUnreachable() {
		// Reports of this process alone go on to be judged.
	}

	private void onRecord(KeyedRecord record) {
		if (QuarantineCodec.isCrash(record)) {
			QuarantineCodec.decodeReport(record)
				.ifPresent((report) -> this.quarantine.onReport(report, QuarantineCodec.decodeReporter(record)));
			return;
		}
		Optional<Verdict> verdict = QuarantineCodec.decodeVerdict(record);
		if (verdict.isPresent()) {
			logVerdict(verdict.get());
			this.quarantine.onVerdict(verdict.get());
			notifyWatched(verdict.get());
			return;
		}
		QuarantineCodec.decodePart(record).ifPresent((part) -> {
			Logger.info("quarantine: cleared {}", describe(part));
			this.quarantine.onCleared(part);
		});
	}

	private void notifyWatched(Verdict verdict) {
		PromptPartKey part = verdict.part();
		for (WatchedRequest watch : this.watched) {
			if (watch.request.model().equals(part.model()) && watch.request.sharedPartIds().contains(part.part())
					&& check(watch.request).isPresent()) {
				watch.onQuarantined.run();
			}
		}
	}

	private void report(CrashReport report) {
		long reportedAtMillis = this.clock.nowMillis();
		Logger.info("quarantine: backend server {} crashed, unanswered={} prompts={}", report.server(),
				report.witnesses().size(),
				report.witnesses()
					.stream()
					.limit(MAX_LOGGED_WITNESSES)
					.map(Witness::toString)
					.collect(Collectors.joining(";")));
		this.quarantine.onReport(report, this.processId);
		this.sender.send(() -> QuarantineCodec.encode(report,
				report.ageMillis() + this.clock.nowMillis() - reportedAtMillis, this.processId));
	}

	private static void logVerdict(Verdict verdict) {
		Logger.info("quarantine: verdict on {} term={} author={} servers={}", describe(verdict.part()), verdict.term(),
				verdict.author(), String.join(",", verdict.servers()));
	}

	private static String describe(PromptPartKey part) {
		return "model=" + part.model() + " part=" + part.part();
	}

	/** Open request; two requests are never equal. */
	private static final class WatchedRequest {

		private final CallerRequest request;

		private final Runnable onQuarantined;

		private WatchedRequest(CallerRequest request, Runnable onQuarantined) {
			this.request = request;
			this.onQuarantined = onQuarantined;
		}

	}

}
