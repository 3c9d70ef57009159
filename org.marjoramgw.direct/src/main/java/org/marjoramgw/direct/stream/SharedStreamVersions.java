package org.marjoramgw.direct.stream;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import org.marjoramgw.MillisClock;
import org.marjoramgw.direct.caller.Resumption;
import org.marjoramgw.direct.follow.AppendableTopic;
import org.marjoramgw.direct.follow.ConfirmationReads;
import org.marjoramgw.direct.follow.KeyedRecord;
import org.marjoramgw.direct.follow.ServerDirectory;
import org.marjoramgw.direct.follow.TopicReader;
import org.marjoramgw.direct.model.BackendServer;
import org.marjoramgw.policy.retry.Backoff;
import org.marjoramgw.policy.stream.StreamBook;
import org.marjoramgw.policy.stream.StreamOrigin;
import org.marjoramgw.policy.stream.VersionBook;
import org.marjoramgw.time.Timers;
import org.tinylog.Logger;

/**
 * Versions of streams that all processes share through a topic of the store; thread-safe.
 * <p>
 * Each process marks the versions at which it may begin streams, and records the streams
 * of services that have several versions.
 *
 * @author The marjoramgw authors
 */
public final class SharedStreamVersions implements StreamVersions {

	/** Interval at which a mark that is due is noticed, in milliseconds. */
	private static final long CHECK_INTERVAL_MILLIS = 5_000;

	/**
	 * Time after which a stream that isn't recorded is looked for again, in milliseconds;
	 * longer than its process takes to record it.
	 */
	private static final long SECOND_LOOK_MILLIS = StreamRecorder.INTERVAL_MILLIS + 50;

	/** Longest time for which a caller that takes up a stream waits, in milliseconds. */
	private static final long MAX_LOOK_MILLIS = 1_000;

	private final ServerDirectory directory;

	private final MillisClock timeOfDay;

	private final Timers timers;

	private final Backoff backoff;

	private final VersionBook versions;

	private final StreamBook streams = new StreamBook();

	private final StreamRecorder recorder;

	private final ConfirmationReads reads;

	private final Map<String, BackendServer> serverById = new HashMap<>();

	private boolean loaded;

	/**
	 * Creates an instance.
	 * @param processId id of this process
	 * @param directory registered backend servers
	 * @param topic topic that all processes share
	 * @param monotonicClock monotonic clock
	 * @param timeOfDay time of day, in milliseconds since the Unix epoch
	 * @param timers timers
	 * @param backoff delays before failed calls are repeated
	 */
	public SharedStreamVersions(String processId, ServerDirectory directory, AppendableTopic topic,
			MillisClock monotonicClock, MillisClock timeOfDay, Timers timers, Backoff backoff) {
		this.versions = new VersionBook(processId);
		this.directory = directory;
		this.timeOfDay = timeOfDay;
		this.timers = timers;
		this.backoff = backoff;
		this.recorder = new StreamRecorder(processId, topic, this.versions, this.streams, timeOfDay, timers, backoff,
				this);
		TopicReader reader = new TopicReader(topic, monotonicClock, new RecordListener());
		this.reads = new ConfirmationReads(reader::read, monotonicClock);
	}

	/**
	 * Reads what other processes have shared, and begins to share.
	 */
	public void start() {
		this.reads.request().thenRun(() -> {
			if (isLoaded()) {
				scheduleCheck();
			}
			else {
				this.timers.schedule(this.backoff.delayMillis(1), this::start);
			}
		});
	}

	/**
	 * Tells whether it was read once what other processes have shared.
	 * @return whether it was
	 */
	public synchronized boolean isLoaded() {
		return this.loaded;
	}

	/**
	 * Must be called whenever the directory may have changed.
	 */
	public synchronized void onRegistrations() {
		Map<String, Set<String>> registered = new HashMap<>();
		Set<String> ids = new HashSet<>();
		for (BackendServer server : this.directory.all()) {
			registered.computeIfAbsent(server.service(), (service) -> new HashSet<>()).add(server.version());
			ids.add(server.id());
			BackendServer previous = this.serverById.put(server.id(), server);
			if (previous != null && !previous.isSameRun(server)) {
				this.streams.onReplaced(server.id(), server.startMillis());
			}
		}
		this.serverById.keySet().retainAll(ids);
		this.versions.onRegistered(registered, this.timeOfDay.nowMillis());
		if (this.loaded) {
			this.recorder.recordNow();
		}
	}

	/**
	 * Must be called when the registrations were read anew, since the store may have been
	 * restored from a copy.
	 */
	public void onStoreReadAnew() {
		if (isLoaded()) {
			this.reads.request();
		}
	}

	@Override
	public synchronized boolean mayBegin(BackendServer server) {
		return this.versions.mayBegin(server.service(), server.version(), this.timeOfDay.nowMillis());
	}

	@Override
	public StreamOrigin originAt(BackendServer server) {
		return new StreamOrigin(server.service(),
				this.directory.isReplaced(server) ? Optional.empty() : Optional.of(server.version()));
	}

	@Override
	public synchronized void onBegun(String requestId, StreamOrigin origin, BackendServer server) {
		this.streams.onBegun(StreamRecordCodec.key(requestId), origin, server.id(), this.timeOfDay.nowMillis());
		this.recorder.recordSoon(origin.service());
	}

	@Override
	public CompletionStage<Optional<StreamOrigin>> locate(Resumption resumption, String service) {
		Optional<StreamOrigin> known = find(resumption);
		if (known.isPresent()) {
			return CompletableFuture.completedFuture(known);
		}
		CompletableFuture<Optional<StreamOrigin>> located = new CompletableFuture<>();
		located.completeOnTimeout(Optional.empty(), MAX_LOOK_MILLIS, TimeUnit.MILLISECONDS);
		look(resumption, service).thenAccept((found) -> {
			if (found.isPresent()) {
				located.complete(found);
			}
			else {
				this.timers.schedule(SECOND_LOOK_MILLIS, () -> look(resumption, service).thenAccept(located::complete));
			}
		});
		return located;
	}

	private CompletionStage<Optional<StreamOrigin>> look(Resumption resumption, String service) {
		return this.reads.request().thenApply((answered) -> {
			Optional<StreamOrigin> found = find(resumption);
			return (found.isPresent() || !answered) ? found : onlyVersion(service);
		});
	}

	private synchronized Optional<StreamOrigin> find(Resumption resumption) {
		return resumption.firstAttemptId().flatMap((id) -> this.streams.find(StreamRecordCodec.key(id)));
	}

	private synchronized Optional<StreamOrigin> onlyVersion(String service) {
		Set<String> possible = this.versions.possible(service, this.timeOfDay.nowMillis());
		return (possible.size() == 1) ? Optional.of(new StreamOrigin(service, possible.stream().findFirst()))
				: Optional.empty();
	}

	private synchronized void receive(List<KeyedRecord> records) {
		long nowMillis = this.timeOfDay.nowMillis();
		for (KeyedRecord record : records) {
			StreamRecordCodec.decodeMark(record)
				.ifPresent((mark) -> this.versions.onMark(mark.processId(), mark.mark()));
			StreamRecordCodec.decodeStreams(record)
				.ifPresent((recorded) -> recorded.streams()
					.forEach((stream) -> this.streams.onRecord(stream.key(), stream.origin(), recorded.atMillis(),
							nowMillis)));
		}
		this.loaded = true;
	}

	private synchronized void onStoreRestored() {
		Logger.info("streams: the store was restored, sharing marks and streams again");
		this.versions.onMarkLost();
		this.streams.onRecordsLost();
	}

	private void scheduleCheck() {
		this.timers.schedule(CHECK_INTERVAL_MILLIS, () -> {
			onRegistrations();
			scheduleCheck();
		});
	}

	/** Receiver of what processes have shared. */
	private final class RecordListener implements TopicReader.Listener {

		@Override
		public void onSnapshot(List<KeyedRecord> records, boolean otherEra) {
			if (otherEra) {
				onStoreRestored();
			}
			onRecords(records);
			// What the store has lost is written again.
			onRegistrations();
		}

		@Override
		public void onRecords(List<KeyedRecord> records) {
			receive(records);
		}

	}

}
