package org.marjoramgw.direct.peer;

import java.net.InetSocketAddress;

import org.marjoramgw.MillisClock;
import org.marjoramgw.direct.forward.LogRateLimiter;
import org.marjoramgw.policy.fleet.MembershipListener;
import org.tinylog.Logger;

/**
 * Log lines about peers, limited to a number per second.
 *
 * @author The marjoramgw authors
 */
final class PeerLog implements MembershipListener {

	/** A restart of all entry processes of a deployment takes a few seconds to log. */
	private static final int MAX_LINES_PER_SECOND = 10;

	private final LogRateLimiter limiter;

	/**
	 * Creates a log.
	 * @param clock monotonic clock
	 */
	PeerLog(MillisClock clock) {
		this.limiter = new LogRateLimiter(clock, MAX_LINES_PER_SECOND);
	}

	@Override
	public void onJoined(String processId, long incarnation, InetSocketAddress address) {
		if (this.limiter.tryAcquire()) {
			Logger.info("peer joined process={} incarnation={} address={}", processId, incarnation, address);
		}
	}

	@Override
	public void onRestarted(String processId, long incarnation, InetSocketAddress address) {
		if (this.limiter.tryAcquire()) {
			Logger.info("peer restarted process={} incarnation={} address={}", processId, incarnation, address);
		}
	}

	@Override
	public void onExpired(String processId) {
		if (this.limiter.tryAcquire()) {
			Logger.info("peer expired process={}", processId);
		}
	}

}
