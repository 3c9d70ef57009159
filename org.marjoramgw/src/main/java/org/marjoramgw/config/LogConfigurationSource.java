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
import org.marjoramgw.config.internal.CheckpointKeeper;
import org.marjoramgw.config.internal.ConfigurationFold;
import org.marjoramgw.config.internal.ConfigurationLogReader;
import org.marjoramgw.config.internal.ConfigurationRecordCodec;
import org.marjoramgw.errors.InvalidTextException;
import org.marjoramgw.errors.LogUnavailableException;
import org.marjoramgw.log.LogService;
import org.marjoramgw.metrics.ResultCounters;
import org.marjoramgw.wire.Message;
import org.tinylog.Logger;

/**
 * Source that reads the log on a thread of its own, takes newer texts from peers, and
 * keeps the log supplied with checkpoints.
 * <p>
 * The time between two polls is random and lengthens with the size of the fleet, so that
 * the total rate stays flat; peers carry a revision on from whoever saw it first. Only a
 * higher revision ever replaces the one in force.
 *
 * @author The marjoramgw authors
 */
public final class LogConfigurationSource implements ConfigurationSource {

	private static final int POLLS_PER_INTERVAL = 10;

	private static final int MAX_NOTED_REVISIONS = 8;

	private final ConfigurationParser parser;

	private final long pollMillis;

	private final IntSupplier fleetSize;

	private final Random random;

	private final ResultCounters counters;

	private final ConfigurationFold fold;

	private final ConfigurationLogReader reader;

	private final CheckpointKeeper checkpoints;

	private final ScheduledExecutorService thread;

	private final List<Consumer<Configuration>> listeners = new CopyOnWriteArrayList<>();

	private volatile Configuration current;

	private Message.ConfigText fromPeer;

	private final Deque<Message.ConfigText> noted = new ArrayDeque<>();

	private long notedRevision;

	private boolean logAway;

	/**
	 * Creates a source and starts reading at once.
	 * @param log the log service
	 * @param parser parser of the texts
	 * @param clock the clock
	 * @param pollMillis least mean time between two polls, in milliseconds
	 * @param fleetSize number of processes that share the polling and are connected to
	 * this one, directly or through others; 0 while no peer is connected
	 * @param random source of the jitter
	 * @param counters counters of results
	 */
	public LogConfigurationSource(LogService log, ConfigurationParser parser, MillisClock clock, long pollMillis,
			IntSupplier fleetSize, Random random, ResultCounters counters) {
		this.parser = parser;
		this.pollMillis = pollMillis;
		this.fleetSize = fleetSize;
		this.random = random;
		this.counters = counters;
		ConfigurationRecordCodec codec = new ConfigurationRecordCodec();
		this.fold = new ConfigurationFold(codec);
		this.reader = new ConfigurationLogReader(log, codec, this.fold);
		this.checkpoints = new CheckpointKeeper(log, codec, this.fold, this.reader, clock, random);
		this.thread = Executors.newSingleThreadScheduledExecutor(new DaemonThreadFactory("configuration"));
		this.thread.execute(this::poll);
	}

	@Override
	public Optional<Configuration> current() {
		return Optional.ofNullable(this.current);
	}

	@Override
	public Optional<Message.ConfigText> currentText() {
		synchronized (this.fold) {
			if (this.fromPeer != null && this.fromPeer.revision() > this.fold.revision()) {
				return Optional.of(this.fromPeer);
			}
			long nextOffset = this.fold.nextOffset();
			return this.fold.accepted()
				.map((accepted) -> new Message.ConfigText(accepted.revision(), nextOffset, accepted.text()));
		}
	}

	@Override
	public void offerFromPeer(Message.ConfigText text) {
		synchronized (this.fold) {
			long known = (this.fromPeer != null) ? this.fromPeer.revision() : 0;
			if (text.revision() <= Math.max(known, this.fold.revision())) {
				return;
			}
			this.fromPeer = text;
		}
		putInForce();
	}

	@Override
	public synchronized void listen(Consumer<Configuration> listener) {
		this.listeners.add(listener);
		if (this.current != null) {
			tell(listener);
		}
	}

	@Override
	public void close() {
		this.thread.shutdownNow();
	}

	private void poll() {
		try {
			catchUp();
			this.logAway = false;
			putInForce();
			this.checkpoints.appendIfDue(this.fleetSize.getAsInt());
		}
		catch (LogUnavailableException ex) {
			noteLogAway(ex);
		}
		catch (RuntimeException ex) {
			Logger.error(ex, "poll of the configuration failed");
		}
		if (!this.thread.isShutdown()) {
			this.thread.schedule(this::poll, nextPollMillis(), TimeUnit.MILLISECONDS);
		}
	}

	/**
	 * Reads the log to its end. A peer's text replaces records that expired unread and
	 * without a checkpoint; otherwise the log alone decides.
	 * @throws LogUnavailableException if the log can't be read
	 */
	private void catchUp() throws LogUnavailableException {
		boolean complete = this.reader.catchUp((record) -> noteAccepted());
		if (!complete && advanceToPeer()) {
			this.reader.catchUp((record) -> noteAccepted());
		}
	}

	private boolean advanceToPeer() {
		synchronized (this.fold) {
			if (this.fromPeer == null || this.fromPeer.offset() < this.reader.firstOffset()) {
				return false;
			}
			AcceptedText text = new AcceptedText(this.fromPeer.revision(), "", "", 0, this.fromPeer.text());
			return this.fold.advanceTo(text, this.fromPeer.offset());
		}
	}

	private void noteLogAway(LogUnavailableException ex) {
		this.counters.count(ResultCode.LOG_AWAY);
		if (!this.logAway) {
			Logger.warn("the configuration in force is kept: {}", ex.getMessage());
		}
		this.logAway = true;
	}

	private long nextPollMillis() {
		long share = Math.max(1, this.fleetSize.getAsInt() / POLLS_PER_INTERVAL);
		long meanMillis = this.pollMillis * share;
		return meanMillis / 2 + (long) (this.random.nextDouble() * meanMillis);
	}

	private synchronized void noteAccepted() {
		Optional<Message.ConfigText> newest = currentText();
		if (newest.isPresent() && newest.get().revision() > this.notedRevision) {
			this.notedRevision = newest.get().revision();
			this.noted.addLast(newest.get());
		}
		if (this.noted.size() > MAX_NOTED_REVISIONS) {
			this.noted.removeFirst();
		}
	}

	/**
	 * Puts the newest of the noted revisions in force that can be read.
	 */
	private synchronized void putInForce() {
		noteAccepted();
		boolean done = false;
		while (!done && !this.noted.isEmpty()) {
			Message.ConfigText newest = this.noted.removeLast();
			done = newest.revision() <= revisionInForce() || parseAndPut(newest);
		}
		this.noted.clear();
	}

	private long revisionInForce() {
		return (this.current != null) ? this.current.revision() : 0;
	}

	private boolean parseAndPut(Message.ConfigText accepted) {
		try {
			this.current = this.parser.parse("revision " + accepted.revision(), accepted.revision(), accepted.text());
			Logger.info("configuration revision {} is in force", accepted.revision());
			this.listeners.forEach(this::tell);
			return true;
		}
		catch (InvalidTextException ex) {
			this.counters.count(ResultCode.REVISION_UNREADABLE);
			Logger.error("E{} {}: revision {}, the last good one stays in force: {}",
					ResultCode.REVISION_UNREADABLE.number(), ResultCode.REVISION_UNREADABLE.text(), accepted.revision(),
					ex.getMessage());
			return false;
		}
	}

	private void tell(Consumer<Configuration> listener) {
		try {
			listener.accept(this.current);
		}
		catch (RuntimeException ex) {
			Logger.error(ex, "listener to the configuration failed");
		}
	}

}
