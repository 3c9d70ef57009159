package org.marjoramgw.config;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntSupplier;

import org.marjoramgw.DaemonThreadFactory;
import org.marjoramgw.MillisClock;
import org.marjoramgw.ResultCode;
import org.marjoramgw.config.internal.AcceptedText;
import org.marjoramgw.config.internal.CheckpointWriter;
import org.marjoramgw.config.internal.ConfigurationLogReader;
import org.marjoramgw.config.internal.ConfigurationRecordCodec;
import org.marjoramgw.config.internal.ConfigurationState;
import org.marjoramgw.errors.InvalidTomlException;
import org.marjoramgw.errors.LogUnavailableException;
import org.marjoramgw.log.LogService;
import org.marjoramgw.metrics.ResultCounters;
import org.marjoramgw.time.Jitter;
import org.marjoramgw.wire.Message;
import org.tinylog.Logger;

/**
 * Configuration source that polls the log on its own thread, accepts newer texts from
 * peers, and appends checkpoints to the log.
 * <p>
 * The poll interval is randomized and grows with the number of processes, so that the
 * total read rate of the log stays constant; the process that sees a revision first
 * passes it on to its peers. The active configuration is only ever replaced by a higher
 * revision.
 *
 * @author The marjoramgw authors
 */
public final class LogConfigurationSource implements ConfigurationSource {

	private static final int POLLS_PER_INTERVAL = 10;

	private static final int MAX_PENDING_REVISIONS = 8;

	private final ConfigurationParser parser;

	private final long pollMillis;

	private final IntSupplier fleetSize;

	private final Jitter jitter;

	private final ResultCounters counters;

	private final ConfigurationState state;

	private final ConfigurationLogReader reader;

	private final CheckpointWriter checkpointWriter;

	private final ScheduledExecutorService executor;

	private final List<Consumer<Configuration>> listeners = new CopyOnWriteArrayList<>();

	private volatile Configuration current;

	private Message.ConfigText peerText;

	private final Deque<Message.ConfigText> pendingTexts = new ArrayDeque<>();

	private long newestPendingRevision;

	private boolean logUnavailable;

	/**
	 * Creates a source and starts polling immediately.
	 * @param log the log service
	 * @param parser parser of the texts
	 * @param clock the clock
	 * @param pollMillis minimum of the mean time between two polls, in milliseconds
	 * @param fleetSize supplies the number of processes that poll the log and are
	 * connected to this one, directly or indirectly; 0 while no peer is connected
	 * @param random source of jitter
	 * @param counters counters of result codes
	 */
	public LogConfigurationSource(LogService log, ConfigurationParser parser, MillisClock clock, long pollMillis,
			IntSupplier fleetSize, Random random, ResultCounters counters) {
		this.parser = parser;
		this.pollMillis = pollMillis;
		this.fleetSize = fleetSize;
		this.jitter = new Jitter(random);
		this.counters = counters;
		ConfigurationRecordCodec codec = new ConfigurationRecordCodec();
		this.state = new ConfigurationState(codec);
		this.reader = new ConfigurationLogReader(log, codec, this.state);
		this.checkpointWriter = new CheckpointWriter(log, codec, this.state, this.reader, clock, random);
		this.executor = Executors.newSingleThreadScheduledExecutor(new DaemonThreadFactory("configuration"));
		this.executor.execute(this::poll);
	}

	@Override
	public Optional<Configuration> current() {
		return Optional.ofNullable(this.current);
	}

	@Override
	public Optional<Message.ConfigText> currentText() {
		synchronized (this.state) {
			if (this.peerText != null && this.peerText.revision() > this.state.revision()) {
				return Optional.of(this.peerText);
			}
			long nextOffset = this.state.nextOffset();
			return this.state.accepted()
				.map((accepted) -> new Message.ConfigText(accepted.revision(), nextOffset, accepted.text()));
		}
	}

	@Override
	public void offerFromPeer(Message.ConfigText text) {
		synchronized (this.state) {
			long peerRevision = (this.peerText != null) ? this.peerText.revision() : 0;
			if (text.revision() <= Math.max(peerRevision, this.state.revision())) {
				return;
			}
			this.peerText = text;
		}
		activateNewest();
	}

	@Override
	public synchronized void addListener(Consumer<Configuration> listener) {
		this.listeners.add(listener);
		if (this.current != null) {
			notifyListener(listener);
		}
	}

	@Override
	public void close() {
		this.executor.shutdownNow();
	}

	private void poll() {
		try {
			catchUp();
			this.logUnavailable = false;
			activateNewest();
			this.checkpointWriter.appendIfDue(this.fleetSize.getAsInt());
		}
		catch (LogUnavailableException ex) {
			onLogUnavailable(ex);
		}
		catch (RuntimeException ex) {
			Logger.error(ex, "poll of the configuration failed");
		}
		if (!this.executor.isShutdown()) {
			this.executor.schedule(this::poll, nextPollMillis(), TimeUnit.MILLISECONDS);
		}
	}

	/**
	 * Reads the log to its end. If records expired before they were read and no
	 * checkpoint replaces them, the state continues from the text of a peer; otherwise it
	 * is derived from the log alone.
	 * @throws LogUnavailableException if the log can't be read
	 */
	private void catchUp() throws LogUnavailableException {
		boolean complete = this.reader.catchUp((record) -> addPendingText());
		if (!complete && advanceToPeerText()) {
			this.reader.catchUp((record) -> addPendingText());
		}
	}

	private boolean advanceToPeerText() {
		synchronized (this.state) {
			if (this.peerText == null || this.peerText.offset() < this.reader.firstOffset()) {
				return false;
			}
			AcceptedText text = new AcceptedText(this.peerText.revision(), "", "", 0, this.peerText.text());
			return this.state.advanceTo(text, this.peerText.offset());
		}
	}

	private void onLogUnavailable(LogUnavailableException ex) {
		this.counters.count(ResultCode.LOG_AWAY);
		if (!this.logUnavailable) {
			Logger.warn("configuration can't be read from the log; the current one stays in use: {}", ex.getMessage());
		}
		this.logUnavailable = true;
	}

	private long nextPollMillis() {
		long share = Math.max(1, this.fleetSize.getAsInt() / POLLS_PER_INTERVAL);
		long meanMillis = this.pollMillis * share;
		return this.jitter.aroundMillis(meanMillis);
	}

	private synchronized void addPendingText() {
		Optional<Message.ConfigText> newest = currentText();
		if (newest.isPresent() && newest.get().revision() > this.newestPendingRevision) {
			this.newestPendingRevision = newest.get().revision();
			this.pendingTexts.addLast(newest.get());
		}
		if (this.pendingTexts.size() > MAX_PENDING_REVISIONS) {
			this.pendingTexts.removeFirst();
		}
	}

	/**
	 * Activates the newest pending revision that this release can parse.
	 */
	private synchronized void activateNewest() {
		addPendingText();
		boolean done = false;
		while (!done && !this.pendingTexts.isEmpty()) {
			Message.ConfigText newest = this.pendingTexts.removeLast();
			done = newest.revision() <= activeRevision() || parseAndActivate(newest);
		}
		this.pendingTexts.clear();
	}

	private long activeRevision() {
		return (this.current != null) ? this.current.revision() : 0;
	}

	private boolean parseAndActivate(Message.ConfigText accepted) {
		try {
			this.current = this.parser.parse("revision " + accepted.revision(), accepted.revision(), accepted.text());
			Logger.info("configuration revision {} is active", accepted.revision());
			this.listeners.forEach(this::notifyListener);
			return true;
		}
		catch (InvalidTomlException ex) {
			this.counters.count(ResultCode.REVISION_UNREADABLE);
			Logger.error("E{} {}: revision {}, the last readable one stays active: {}",
					ResultCode.REVISION_UNREADABLE.number(), ResultCode.REVISION_UNREADABLE.text(), accepted.revision(),
					ex.getMessage());
			return false;
		}
	}

	private void notifyListener(Consumer<Configuration> listener) {
		try {
			listener.accept(this.current);
		}
		catch (RuntimeException ex) {
			Logger.error(ex, "listener to the configuration failed");
		}
	}

}
