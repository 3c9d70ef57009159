package org.marjoramgw.policy.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;

import org.marjoramgw.MillisClock;
import org.marjoramgw.policy.pace.EventPauses;
import org.marjoramgw.policy.pace.PaceBook;
import org.marjoramgw.policy.pace.PaceMeasurement;
import org.marjoramgw.policy.pace.ServerRamp;

/**
 * Load of the backend servers: that of this process, which it reports to its peers, and
 * that of the peers by their reports; thread-safe.
 * <p>
 * What peers report may be old or missing, which makes a choice worse but never wrong.
 *
 * @author The marjoramgw authors
 */
public final class FleetBook implements FleetLoad, LoadObserver, DigestSource, DigestListener {

	/**
	 * Time for which an unchanged row without load is repeated in complete digests, so
	 * that no peer keeps an older one because datagrams were lost.
	 */
	private static final long REPEAT_MILLIS = 10_000;

	/** Time after the last change at which the row of a server is dropped. */
	private static final long FORGET_MILLIS = 600_000;

	/**
	 * Shared tokens from which on it matters where a prompt is cached. Fewer are
	 * prefilled within one step of a server.
	 */
	private static final int MIN_SHARED_TOKENS = 1_000;

	private final String processId;

	private final long incarnation;

	private final MillisClock clock;

	private final LongSupplier lagMillis;

	private final PaceBook paceBook;

	private final ServerRamp ramp;

	private final Map<Integer, OwnLoad> ownByServer = new HashMap<>();

	private final PeerLoads peerLoads = new PeerLoads(this::onPeerChange);

	private final CachedParts cachedParts = new CachedParts();

	private long sequence;

	/**
	 * Creates a book without load.
	 * @param processId id of this process
	 * @param incarnation start of this process in milliseconds since the Unix epoch
	 * @param clock monotonic clock
	 * @param lagMillis scheduling lag of this process in milliseconds, which is not held
	 * against a server
	 * @param paceBook receiver of measured paces
	 * @param ramp receiver of timely and late first tokens
	 */
	public FleetBook(String processId, long incarnation, MillisClock clock, LongSupplier lagMillis, PaceBook paceBook,
			ServerRamp ramp) {
		this.processId = processId;
		this.incarnation = incarnation;
		this.clock = clock;
		this.lagMillis = lagMillis;
		this.paceBook = paceBook;
		this.ramp = ramp;
	}

	/**
	 * Returns the start of this process.
	 * @return milliseconds since the Unix epoch
	 */
	public long incarnation() {
		return this.incarnation;
	}

	@Override
	public synchronized ServerLoad load(int serverKey) {
		ServerLoad peers = this.peerLoads.load(serverKey, this.clock.nowMillis());
		OwnLoad own = this.ownByServer.get(serverKey);
		if (own == null) {
			return peers;
		}
		return new ServerLoad(peers.unreadTokens() + own.unreadTokens, peers.requestCount() + own.requestCount());
	}

	/**
	 * Tells whether a server probably has a part of a prompt in its cache.
	 * @param partKey key of the part, see {@link FleetKeys#partKey}
	 * @param serverKey key of the server
	 * @return whether the part was sent there recently
	 */
	synchronized boolean isCached(int partKey, int serverKey) {
		return this.cachedParts.contains(partKey, serverKey, this.clock.nowMillis());
	}

	@Override
	public synchronized boolean isCold(int serverKey, List<SharedPart> sharedParts) {
		return tokenCount(sharedParts) >= MIN_SHARED_TOKENS
				&& cachedTokens(serverKey, sharedParts, this.clock.nowMillis()) == 0;
	}

	@Override
	public synchronized RequestObserver onSent(int serverKey, List<SharedPart> sharedParts, int promptTokens,
			long targetMillis) {
		long nowMillis = this.clock.nowMillis();
		long cachedTokens = cachedTokens(serverKey, sharedParts, nowMillis);
		int unread = (int) Math.max(0, promptTokens - cachedTokens);
		if (tokenCount(sharedParts) >= MIN_SHARED_TOKENS) {
			this.cachedParts.onSent(sharedParts.get(sharedParts.size() - 1), serverKey, nowMillis);
		}
		return new SentRequest(serverKey, promptTokens > 0, unread, targetMillis);
	}

	@Override
	public synchronized Digest next(boolean complete) {
		long nowMillis = this.clock.nowMillis();
		List<ServerReport> reports = new ArrayList<>();
		for (Iterator<Map.Entry<Integer, OwnLoad>> loads = this.ownByServer.entrySet().iterator(); loads.hasNext();) {
			Map.Entry<Integer, OwnLoad> load = loads.next();
			OwnLoad own = load.getValue();
			long ageMillis = nowMillis - own.changedMillis;
			ServerReport report = own.nextReport(load.getKey());
			boolean repeated = complete && (own.requestCount() > 0 || ageMillis < REPEAT_MILLIS);
			if (report != null || repeated) {
				reports.add(own.lastReport());
			}
			if (own.requestCount() == 0 && ageMillis > FORGET_MILLIS) {
				loads.remove();
			}
		}
		return new Digest(this.processId, this.incarnation, ++this.sequence, reports, this.cachedParts.nextReports());
	}

	@Override
	public synchronized void onDigest(Digest digest) {
		long nowMillis = this.clock.nowMillis();
		if (!digest.processId().equals(this.processId) && this.peerLoads.onDigest(digest, nowMillis)) {
			digest.prompts().forEach((report) -> this.cachedParts.onReport(report, nowMillis));
		}
	}

	@Override
	public synchronized void onMembers(Set<String> heardIds, Set<String> memberIds) {
		this.peerLoads.onMembers(heardIds, memberIds.size());
	}

	private long cachedTokens(int serverKey, List<SharedPart> sharedParts, long nowMillis) {
		if (sharedParts.isEmpty() || !this.cachedParts.contains(sharedParts.get(sharedParts.size() - 1).partKey(),
				serverKey, nowMillis)) {
			return 0;
		}
		return tokenCount(sharedParts);
	}

	private static long tokenCount(List<SharedPart> parts) {
		return parts.stream().mapToLong(SharedPart::tokenCount).sum();
	}

	private OwnLoad own(int serverKey) {
		OwnLoad own = this.ownByServer.computeIfAbsent(serverKey, (key) -> new OwnLoad());
		own.changedMillis = this.clock.nowMillis();
		own.changed = true;
		return own;
	}

	private void onPeerChange(ServerReport previous, ServerReport report) {
		int timely = report.timelyCount() - previous.timelyCount();
		int late = report.lateCount() - previous.lateCount();
		if (late > 0) {
			this.ramp.onLate(report.serverKey(), late);
		}
		if (timely > 0) {
			this.ramp.onTimely(report.serverKey(), timely);
		}
		if (report.eventsPerSecond() != previous.eventsPerSecond()
				|| report.longPauseMillis() != previous.longPauseMillis()) {
			this.paceBook.onMeasured(report.serverKey(),
					new PaceMeasurement(report.eventsPerSecond(), report.longPauseMillis()));
		}
	}

	/**
	 * A request that was sent.
	 */
	private final class SentRequest implements RequestObserver {

		private final int serverKey;

		private final boolean hasPrompt;

		private final int unreadTokens;

		private final long targetMillis;

		private final long sentMillis = FleetBook.this.clock.nowMillis();

		private final long lagAtSendMillis = FleetBook.this.lagMillis.getAsLong();

		private final EventPauses pauses = new EventPauses();

		private boolean begun;

		private boolean ended;

		private SentRequest(int serverKey, boolean hasPrompt, int unreadTokens, long targetMillis) {
			this.serverKey = serverKey;
			this.hasPrompt = hasPrompt;
			this.unreadTokens = unreadTokens;
			this.targetMillis = targetMillis;
			OwnLoad own = own(serverKey);
			if (hasPrompt) {
				own.unreadTokens += unreadTokens;
				own.unreadCount++;
			}
			else {
				own.runningCount++;
			}
		}

		@Override
		public void onFirstToken() {
			synchronized (FleetBook.this) {
				if (this.begun || this.ended) {
					return;
				}
				this.begun = true;
				if (this.hasPrompt) {
					OwnLoad own = own(this.serverKey);
					endPrefill(own);
					own.runningCount++;
					judge(own);
				}
			}
		}

		@Override
		public void onPause(long pauseMillis) {
			this.pauses.add(pauseMillis).ifPresent(this::onMeasured);
		}

		@Override
		public void onEnd(boolean failed) {
			synchronized (FleetBook.this) {
				if (this.ended) {
					return;
				}
				this.ended = true;
				OwnLoad own = own(this.serverKey);
				if (this.hasPrompt && !this.begun) {
					endPrefill(own);
				}
				else {
					own.runningCount--;
				}
				if (failed) {
					own.lateCount++;
					FleetBook.this.ramp.onFailed(this.serverKey);
				}
			}
		}

		private void onMeasured(PaceMeasurement measurement) {
			synchronized (FleetBook.this) {
				OwnLoad own = own(this.serverKey);
				own.eventsPerSecond = measurement.eventsPerSecond();
				own.longPauseMillis = measurement.longPauseMillis();
				FleetBook.this.paceBook.onMeasured(this.serverKey, measurement);
			}
		}

		private void endPrefill(OwnLoad own) {
			own.unreadTokens -= this.unreadTokens;
			own.unreadCount--;
		}

		private void judge(OwnLoad own) {
			long lag = this.lagAtSendMillis + FleetBook.this.lagMillis.getAsLong();
			long tookMillis = Math.max(1, FleetBook.this.clock.nowMillis() - this.sentMillis - lag);
			if (tookMillis <= this.targetMillis) {
				own.timelyCount++;
				FleetBook.this.ramp.onTimely(this.serverKey, 1);
			}
			else {
				own.lateCount++;
				FleetBook.this.ramp.onLate(this.serverKey, 1);
			}
		}

	}

}
