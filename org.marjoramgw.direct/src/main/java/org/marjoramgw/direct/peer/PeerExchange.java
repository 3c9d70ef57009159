package org.marjoramgw.direct.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import com.codahale.metrics.MetricRegistry;
import org.marjoramgw.HostPort;
import org.marjoramgw.MillisClock;
import org.marjoramgw.direct.follow.AppendableTopic;
import org.marjoramgw.direct.forward.LogRateLimiter;
import org.marjoramgw.policy.fleet.Digest;
import org.marjoramgw.policy.fleet.DigestListener;
import org.marjoramgw.policy.fleet.DigestSource;
import org.marjoramgw.policy.fleet.DigestVerdict;
import org.marjoramgw.policy.fleet.ListingSchedule;
import org.marjoramgw.policy.fleet.PeerListing;
import org.marjoramgw.policy.fleet.PeerMembership;
import org.marjoramgw.policy.fleet.RoundSchedule;
import org.marjoramgw.policy.retry.Backoff;
import org.marjoramgw.time.Timers;
import org.tinylog.Logger;

/**
 * Exchange of digests with other entry processes; thread-safe.
 * <p>
 * Each round is one task of the timers, which reads all datagrams that arrived and then
 * sends one digest. What peers report is advisory: without any of them the process
 * decides by its own load.
 *
 * @author The marjoramgw authors
 */
public final class PeerExchange implements AutoCloseable {

	/**
	 * Time without a round after which the datagrams that wait are too old to be used.
	 */
	private static final long MAX_PAUSE_MILLIS = 2_000;

	/** Delay before an address that is still in use is tried again. */
	private static final long BIND_RETRY_MILLIS = 2_000;

	/** Maximum delay of the first repetition of a call to the store. */
	private static final long BASE_BACKOFF_MILLIS = 1_000;

	private static final long MAX_BACKOFF_MILLIS = 15_000;

	private final String processId;

	private final long incarnation;

	private final HostPort address;

	private final DigestSource source;

	private final DigestListener listener;

	private final MillisClock clock;

	private final Timers timers;

	private final Random random;

	private final PeerMetrics metrics;

	private final PeerList list;

	private final PeerMembership membership;

	private final RoundSchedule schedule = new RoundSchedule();

	private final ListingSchedule listingSchedule;

	private final DigestCodec codec = new DigestCodec();

	private final DigestQueue queue = new DigestQueue();

	private final LogRateLimiter failureLimiter;

	private PeerSocket socket;

	private long round;

	private long sequence;

	private long roundMillis;

	private boolean bindFailed;

	private boolean closed;

	/**
	 * Creates an exchange.
	 * @param processId id of this process
	 * @param incarnation start of this process in milliseconds since the Unix epoch
	 * @param address address on which it receives digests
	 * @param topic topic of all entry processes
	 * @param source source of its digests
	 * @param listener receiver of the digests of peers
	 * @param clock monotonic clock
	 * @param timers timers
	 * @param registry registry of its metrics
	 * @param random source of randomness
	 */
	public PeerExchange(String processId, long incarnation, HostPort address, AppendableTopic topic,
			DigestSource source, DigestListener listener, MillisClock clock, Timers timers, MetricRegistry registry,
			Random random) {
		this.processId = processId;
		this.incarnation = incarnation;
		this.address = address;
		this.source = source;
		this.listener = listener;
		this.clock = clock;
		this.timers = timers;
		this.random = random;
		this.metrics = new PeerMetrics(registry);
		this.membership = new PeerMembership(processId, new PeerLog(clock));
		this.failureLimiter = new LogRateLimiter(clock, 1);
		this.list = new PeerList(processId, incarnation, topic, timers,
				new Backoff(BASE_BACKOFF_MILLIS, MAX_BACKOFF_MILLIS, random), this::onListed);
		this.listingSchedule = new ListingSchedule(clock.nowMillis());
	}

	/**
	 * Opens the socket, becomes known to the others and starts the rounds. An address in
	 * use is tried again until it is free.
	 */
	public void start() {
		HostPort bound;
		synchronized (this) {
			if (this.closed) {
				return;
			}
			try {
				this.socket = PeerSocket.bind(this.address);
				bound = new HostPort(this.address.host(), this.socket.port());
			}
			catch (IOException | RuntimeException ex) {
				onBindFailure(ex);
				return;
			}
			this.roundMillis = this.clock.nowMillis();
		}
		Logger.info("peers: receiving digests on {} incarnation={}", bound, this.incarnation);
		this.list.start(bound);
		// Random, so that processes that start together don't send together.
		scheduleRound(this.random.nextInt((int) this.schedule.delayMillis(0, 0)));
	}

	/**
	 * Makes this process unknown to others that start from now on. Rounds go on until the
	 * process ends, since its requests do.
	 */
	public void leave() {
		this.list.close();
	}

	@Override
	public synchronized void close() {
		this.closed = true;
		if (this.socket != null) {
			try {
				this.socket.close();
			}
			catch (IOException ex) {
				Logger.debug("can't close the socket of the peers: {}", ex.toString());
			}
		}
	}

	private void onBindFailure(Exception failure) {
		if (!this.bindFailed) {
			Logger.warn("peers: can't receive digests on {}, trying again: {}", this.address, failure.toString());
		}
		this.bindFailed = true;
		this.timers.schedule(BIND_RETRY_MILLIS, this::start);
	}

	private void scheduleRound(long delayMillis) {
		this.timers.schedule(delayMillis, this::runRound);
	}

	private void runRound() {
		long delayMillis = this.schedule.delayMillis(0, 0);
		boolean readList = false;
		synchronized (this) {
			if (this.closed) {
				return;
			}
			try {
				long nowMillis = this.clock.nowMillis();
				receive(nowMillis);
				notifyListener(nowMillis);
				delayMillis = send(nowMillis);
				readList = this.listingSchedule.takeDue(nowMillis);
			}
			catch (RuntimeException ex) {
				// The next round may succeed, and requests don't need it.
				logFailure(ex);
			}
		}
		if (readList) {
			this.list.read();
		}
		scheduleRound(delayMillis);
	}

	private void receive(long nowMillis) {
		boolean paused = nowMillis - this.roundMillis >= MAX_PAUSE_MILLIS;
		this.roundMillis = nowMillis;
		if (paused) {
			this.membership.onPause(nowMillis);
			this.socket.receive((bytes, length, sender) -> this.metrics.onLate());
			return;
		}
		this.socket.receive((bytes, length, sender) -> onDatagram(bytes, length, sender, nowMillis));
	}

	private void onDatagram(byte[] bytes, int length, InetSocketAddress sender, long nowMillis) {
		Optional<Digest> digest = this.codec.decode(bytes, length);
		if (digest.isEmpty()) {
			this.metrics.onMalformed();
			return;
		}
		DigestVerdict verdict = this.membership.onDigest(digest.get().processId(), digest.get().incarnation(),
				digest.get().sequence(), sender, nowMillis);
		this.metrics.onVerdict(verdict);
		if (verdict == DigestVerdict.ACCEPTED) {
			try {
				this.listener.onDigest(digest.get());
			}
			catch (RuntimeException ex) {
				// Must not keep this round from the datagrams of other peers.
				logFailure(ex);
			}
		}
	}

	private void logFailure(RuntimeException failure) {
		if (this.failureLimiter.tryAcquire()) {
			Logger.error(failure, "round of digests failed");
		}
	}

	private void notifyListener(long nowMillis) {
		this.membership.advance(nowMillis);
		if (this.membership.isChanged()) {
			Set<String> heardIds = this.membership.heardIds();
			Set<String> memberIds = this.membership.memberIds();
			this.metrics.onMembers(heardIds.size(), memberIds.size());
			this.listener.onMembers(heardIds, memberIds);
			this.membership.acknowledgeChanges();
			this.schedule.requestComplete();
		}
		if (this.metrics.isHearing()) {
			this.listingSchedule.onHeard(nowMillis);
		}
	}

	/**
	 * Sends the digest of a round.
	 * @param nowMillis present time
	 * @return time until the next round, in milliseconds
	 */
	private long send(long nowMillis) {
		List<InetSocketAddress> targets = this.membership.targets(this.round++, nowMillis);
		if (targets.isEmpty()) {
			return this.schedule.delayMillis(0, 0);
		}
		boolean complete = this.schedule.takeComplete(nowMillis);
		this.queue.add(this.source.next(complete), complete);
		byte[] bytes = this.codec.encode(this.queue.take(this.processId, this.incarnation, ++this.sequence,
				this.schedule.maxDigestBytes(targets.size())));
		this.metrics.onSent(targets.size(), this.socket.send(bytes, targets), bytes.length);
		return this.schedule.delayMillis(targets.size(), bytes.length);
	}

	private synchronized void onListed(List<PeerListing> listings, Set<String> deletedIds, boolean complete) {
		this.membership.onListed(listings, complete, this.clock.nowMillis());
		deletedIds.forEach(this.membership::onUnlisted);
	}

}
