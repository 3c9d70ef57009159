package org.marjoramgw.policy.pace;

import java.util.HashMap;
import java.util.Map;

import org.marjoramgw.MillisClock;

/**
 * Slow start of backend servers that are new or have failed; thread-safe.
 * <p>
 * A server in its ramp gets a share of the prompts that it would get otherwise. The share
 * grows with each timely first token of any entry process and halves with a late or
 * failed one, so that a cold server isn't flooded and a sound one is soon in full use. It
 * applies to the keys of prompts and not to single requests: processes that know the same
 * first tokens send a prompt to the same server.
 *
 * @author The marjoramgw authors
 */
public final class ServerRamp {

	/** Share of a server that is new, whose cache is empty. */
	private static final double NEW_SHARE = 0.25;

	/** Share of a server that has failed several times, whose cache may be intact. */
	private static final double FAILED_SHARE = 0.5;

	private static final double MIN_SHARE = 1.0 / 16;

	/** Growth of the share with a timely first token. */
	private static final double GROWTH = 1.0 / 8;

	/** Consecutive failures at this process after which a ramp starts. */
	private static final int FAILURE_COUNT = 2;

	/**
	 * Time after the first request to a service within which its servers aren't new. They
	 * are read from the store one page after another.
	 */
	private static final long FIRST_SIGHT_MILLIS = 2_000;

	/**
	 * Time without any first token or failure after which the share doubles, since there
	 * may be no prompt for this server.
	 */
	private static final long STALL_MILLIS = 1_000;

	/** Time after which a server that no service has any more is forgotten. */
	private static final long FORGET_MILLIS = 60_000;

	private final MillisClock clock;

	private final RampListener listener;

	private final Map<String, Sight> sightByService = new HashMap<>();

	private final Map<Integer, Server> serverByKey = new HashMap<>();

	private long forgottenMillis;

	/**
	 * Creates a ramp without servers.
	 * @param clock monotonic clock
	 * @param listener receiver of the beginning and end of ramps
	 */
	public ServerRamp(MillisClock clock, RampListener listener) {
		this.clock = clock;
		this.listener = listener;
		this.forgottenMillis = clock.nowMillis();
	}

	/**
	 * Copies the ramp, so that a choice can be explained without changing this one.
	 * @return a ramp with the same state that changes independently and has no listener
	 */
	public synchronized ServerRamp copy() {
		ServerRamp copy = new ServerRamp(this.clock, RampListener.NONE);
		this.sightByService.forEach((service, sight) -> copy.sightByService.put(service, sight.copy()));
		this.serverByKey.forEach((key, server) -> copy.serverByKey.put(key, server.copy()));
		copy.forgottenMillis = this.forgottenMillis;
		return copy;
	}

	/**
	 * Records that a server is usable. The ramp of a server that was unknown starts,
	 * unless its service was unknown as well: then no server of it is known to be older.
	 * @param service name of the service
	 * @param serverKey key of the server
	 * @param name name of the server
	 */
	public synchronized void onUsable(String service, int serverKey, String name) {
		long nowMillis = this.clock.nowMillis();
		forget(nowMillis);
		Sight sight = this.sightByService.computeIfAbsent(service, (key) -> new Sight(nowMillis));
		sight.lastMillis = nowMillis;
		Server server = this.serverByKey.get(serverKey);
		if (server == null) {
			server = new Server(serverKey, name);
			this.serverByKey.put(serverKey, server);
			if (nowMillis - sight.firstMillis > FIRST_SIGHT_MILLIS) {
				start(server, NEW_SHARE, "new", nowMillis);
			}
		}
		else if (server.ramping && presentShare(server, nowMillis) == 1) {
			end(server, "complete", nowMillis);
		}
		server.seenMillis = nowMillis;
	}

	/**
	 * Returns the share of the prompts that a server gets.
	 * @param serverKey key of the server
	 * @return share above 0, 1 if the server isn't in its ramp
	 */
	public synchronized double share(int serverKey) {
		Server server = this.serverByKey.get(serverKey);
		return (server != null && server.ramping) ? presentShare(server, this.clock.nowMillis()) : 1;
	}

	/**
	 * Records timely first tokens at a server, of this process or of peers.
	 * @param serverKey key of the server
	 * @param count number of first tokens
	 */
	public synchronized void onTimely(int serverKey, int count) {
		Server server = this.serverByKey.get(serverKey);
		if (server == null || count <= 0) {
			return;
		}
		server.failureCount = 0;
		if (server.ramping) {
			grow(server, count * GROWTH, this.clock.nowMillis());
		}
	}

	/**
	 * Records late first tokens or failures at a server, of this process or of peers.
	 * They start no ramp, because under overload all servers have them.
	 * @param serverKey key of the server
	 * @param count number of them
	 */
	public synchronized void onLate(int serverKey, int count) {
		Server server = this.serverByKey.get(serverKey);
		if (server != null && server.ramping && count > 0) {
			long nowMillis = this.clock.nowMillis();
			server.share = Math.max(MIN_SHARE, presentShare(server, nowMillis) * Math.pow(0.5, count));
			server.changedMillis = nowMillis;
		}
	}

	/**
	 * Records a failure of a server at this process. Several in a row start its ramp.
	 * @param serverKey key of the server
	 */
	public synchronized void onFailed(int serverKey) {
		Server server = this.serverByKey.get(serverKey);
		if (server == null) {
			return;
		}
		if (server.ramping) {
			onLate(serverKey, 1);
		}
		else if (++server.failureCount >= FAILURE_COUNT) {
			start(server, FAILED_SHARE, "failed", this.clock.nowMillis());
		}
	}

	/**
	 * Returns the number of servers that are in their ramp.
	 * @return the number of servers
	 */
	public synchronized int rampingCount() {
		return (int) this.serverByKey.values().stream().filter((server) -> server.ramping).count();
	}

	private void start(Server server, double share, String reason, long nowMillis) {
		server.ramping = true;
		server.share = share;
		server.failureCount = 0;
		server.startedMillis = nowMillis;
		server.changedMillis = nowMillis;
		this.listener.onRampStarted(server.key, server.name, reason, () -> share(server.key));
	}

	private static double presentShare(Server server, long nowMillis) {
		long stallCount = (nowMillis - server.changedMillis) / STALL_MILLIS;
		return Math.min(1, server.share * Math.pow(2, stallCount));
	}

	private void grow(Server server, double growth, long nowMillis) {
		server.share = Math.min(1, presentShare(server, nowMillis) + growth);
		server.changedMillis = nowMillis;
		if (server.share == 1) {
			end(server, "complete", nowMillis);
		}
	}

	private void end(Server server, String reason, long nowMillis) {
		server.ramping = false;
		this.listener.onRampEnded(server.key, server.name, reason, nowMillis - server.startedMillis);
	}

	private void forget(long nowMillis) {
		if (nowMillis - this.forgottenMillis < FORGET_MILLIS) {
			return;
		}
		this.forgottenMillis = nowMillis;
		this.sightByService.values().removeIf((sight) -> nowMillis - sight.lastMillis > FORGET_MILLIS / 2);
		this.serverByKey.values().removeIf((server) -> {
			boolean gone = nowMillis - server.seenMillis > FORGET_MILLIS;
			if (gone && server.ramping) {
				end(server, "gone", nowMillis);
			}
			return gone;
		});
	}

	/** Times at which this process had requests to a service. */
	private static final class Sight {

		private final long firstMillis;

		private long lastMillis;

		private Sight(long nowMillis) {
			this.firstMillis = nowMillis;
			this.lastMillis = nowMillis;
		}

		private Sight copy() {
			Sight copy = new Sight(this.firstMillis);
			copy.lastMillis = this.lastMillis;
			return copy;
		}

	}

	/** Ramp of one server. */
	private static final class Server {

		private final int key;

		private final String name;

		private boolean ramping;

		private double share = 1;

		/** Failures at this process since the last timely first token. */
		private int failureCount;

		private long startedMillis;

		private long changedMillis;

		private long seenMillis;

		private Server(int key, String name) {
			this.key = key;
			this.name = name;
		}

		private Server copy() {
			Server copy = new Server(this.key, this.name);
			copy.ramping = this.ramping;
			copy.share = this.share;
			copy.failureCount = this.failureCount;
			copy.startedMillis = this.startedMillis;
			copy.changedMillis = this.changedMillis;
			copy.seenMillis = this.seenMillis;
			return copy;
		}

	}

}
