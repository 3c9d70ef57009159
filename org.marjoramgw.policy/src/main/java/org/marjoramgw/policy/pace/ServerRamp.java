package org.marjoramgw.policy.pace;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.marjoramgw.MillisClock;
import org.marjoramgw.policy.candidate.RendezvousHash;

/**
 * Slow start of backend servers that are new or have failed, common to all entry
 * processes; thread-safe.
 * <p>
 * During the ramp of a server only the first few processes by rendezvous hash send it
 * prompts, each one at a time until its first token. Their number, the step, doubles when
 * as many first tokens were timely, and halves with a late or failed one. Every process
 * counts the first tokens of all, so that they agree on the step without coordination. A
 * process that hears no peers limits the prompts that it sends concurrently instead.
 *
 * @author The marjoramgw authors
 */
public final class ServerRamp {

	private static final int FIRST_STEP = 2;

	/** Step at which the ramp of a process without peers ends, in prompts. */
	private static final int LAST_STEP_ALONE = 16;

	/**
	 * Time after the first request to a service within which its servers aren't new. They
	 * are read from the store one page after another.
	 */
	private static final long FIRST_SIGHT_MILLIS = 2_000;

	/**
	 * Time without any first token or failure after which the step doubles. The processes
	 * that may send prompts may have none for this server, or may have ended.
	 */
	private static final long STALL_MILLIS = 1_000;

	/**
	 * Time for which late first tokens of peers count when this process sees a failure.
	 */
	private static final long RECENT_MILLIS = 2_000;

	/** Time after which a server that no service has any more is forgotten. */
	private static final long FORGET_MILLIS = 60_000;

	private final String processId;

	private final MillisClock clock;

	private final RampListener listener;

	private final Map<String, Sight> sightByService = new HashMap<>();

	private final Map<Integer, Server> serverByKey = new HashMap<>();

	private Set<String> memberIds = Set.of();

	private boolean alone = true;

	private long forgottenMillis;

	/**
	 * Creates a ramp without servers.
	 * @param processId id of this process
	 * @param clock monotonic clock
	 * @param listener receiver of the beginning and end of ramps
	 */
	public ServerRamp(String processId, MillisClock clock, RampListener listener) {
		this.processId = processId;
		this.clock = clock;
		this.listener = listener;
		this.forgottenMillis = clock.nowMillis();
	}

	/**
	 * Copies the ramp, so that a choice can be explained without changing this one.
	 * @return a ramp with the same state that changes independently and has no listener
	 */
	public synchronized ServerRamp copy() {
		ServerRamp copy = new ServerRamp(this.processId, this.clock, RampListener.NONE);
		this.sightByService.forEach((service, sight) -> copy.sightByService.put(service, sight.copy()));
		this.serverByKey.forEach((key, server) -> copy.serverByKey.put(key, server.copy()));
		copy.memberIds = this.memberIds;
		copy.alone = this.alone;
		copy.forgottenMillis = this.forgottenMillis;
		return copy;
	}

	/**
	 * Records the processes of the deployment.
	 * @param heardCount number of peers that are heard
	 * @param newMemberIds ids of all processes, this one included
	 */
	public synchronized void onMembers(int heardCount, Set<String> newMemberIds) {
		this.alone = heardCount == 0;
		this.memberIds = Set.copyOf(newMemberIds);
		this.serverByKey.values().forEach((server) -> server.ownPosition = -1);
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
				start(server, this.alone ? 1 : FIRST_STEP, "new", nowMillis);
			}
		}
		server.seenMillis = nowMillis;
	}

	/**
	 * Tells whether this process may send a prompt to a server.
	 * @param serverKey key of the server
	 * @param ownUnreadCount prompts that this process sent there and whose first token is
	 * outstanding
	 * @return whether it may
	 */
	public synchronized boolean mayReceive(int serverKey, int ownUnreadCount) {
		Server server = this.serverByKey.get(serverKey);
		if (server == null || !server.ramping) {
			return true;
		}
		long nowMillis = this.clock.nowMillis();
		if (nowMillis - server.changedMillis > STALL_MILLIS) {
			grow(server, nowMillis);
			if (!server.ramping) {
				return true;
			}
		}
		if (this.alone) {
			return ownUnreadCount < server.step;
		}
		return ownUnreadCount == 0 && ownPosition(server) < server.step;
	}

	/**
	 * Records timely first tokens at a server, of this process or of peers.
	 * @param serverKey key of the server
	 * @param count number of first tokens
	 */
	public synchronized void onTimely(int serverKey, int count) {
		Server server = this.serverByKey.get(serverKey);
		if (server == null) {
			return;
		}
		if (!server.ramping) {
			server.recentLateCount = Math.max(0, server.recentLateCount - count);
			return;
		}
		long nowMillis = this.clock.nowMillis();
		server.timelyCount += count;
		server.changedMillis = nowMillis;
		while (server.ramping && server.timelyCount >= server.step) {
			server.timelyCount -= server.step;
			grow(server, nowMillis);
		}
	}

	/**
	 * Records late first tokens or failures at a server, of this process or of peers.
	 * @param serverKey key of the server
	 * @param count number of them
	 */
	public synchronized void onLate(int serverKey, int count) {
		Server server = this.serverByKey.get(serverKey);
		if (server == null || count <= 0) {
			return;
		}
		long nowMillis = this.clock.nowMillis();
		if (!server.ramping) {
			boolean recent = nowMillis - server.changedMillis <= RECENT_MILLIS;
			server.recentLateCount = count + (recent ? server.recentLateCount : 0);
		}
		else {
			server.step = halved(server.step, count);
			server.timelyCount = 0;
		}
		server.changedMillis = nowMillis;
	}

	private static int halved(int step, int count) {
		return Math.max(1, step >> Math.min(count, Integer.SIZE - 1));
	}

	/**
	 * Records a failure of a server at this process. Its ramp starts if it has ended; a
	 * late first token alone doesn't start it, because under overload all servers have
	 * them.
	 * @param serverKey key of the server
	 */
	public synchronized void onFailed(int serverKey) {
		Server server = this.serverByKey.get(serverKey);
		if (server != null && !server.ramping) {
			long nowMillis = this.clock.nowMillis();
			boolean recent = nowMillis - server.changedMillis <= RECENT_MILLIS;
			start(server, halved(lastStep(), 1 + (recent ? server.recentLateCount : 0)), "failed", nowMillis);
		}
		else {
			onLate(serverKey, 1);
		}
	}

	/**
	 * Returns the step of a server.
	 * @param serverKey key of the server
	 * @return the step, 0 if it isn't in its ramp
	 */
	public synchronized int step(int serverKey) {
		Server server = this.serverByKey.get(serverKey);
		return (server != null && server.ramping) ? server.step : 0;
	}

	/**
	 * Returns the number of servers that are in their ramp.
	 * @return the number of servers
	 */
	public synchronized int rampingCount() {
		return (int) this.serverByKey.values().stream().filter((server) -> server.ramping).count();
	}

	private void start(Server server, int step, String reason, long nowMillis) {
		server.ramping = true;
		server.step = step;
		server.timelyCount = 0;
		server.recentLateCount = 0;
		server.startedMillis = nowMillis;
		server.changedMillis = nowMillis;
		this.listener.onRampStarted(server.key, server.name, reason, () -> step(server.key));
		endIfComplete(server, nowMillis);
	}

	private void grow(Server server, long nowMillis) {
		server.step = Math.min(2 * server.step, Math.max(lastStep(), 1));
		server.changedMillis = nowMillis;
		endIfComplete(server, nowMillis);
	}

	private void endIfComplete(Server server, long nowMillis) {
		if (server.step >= lastStep()) {
			end(server, "complete", nowMillis);
		}
	}

	private void end(Server server, String reason, long nowMillis) {
		server.ramping = false;
		this.listener.onRampEnded(server.key, server.name, reason, nowMillis - server.startedMillis);
	}

	private int lastStep() {
		return this.alone ? LAST_STEP_ALONE : this.memberIds.size();
	}

	/**
	 * Returns the position of this process among all by rendezvous hash.
	 * @param server the server
	 * @return the position, 0 for the first
	 */
	private int ownPosition(Server server) {
		if (server.ownPosition < 0) {
			String key = Integer.toString(server.key);
			long own = RendezvousHash.score(key, this.processId);
			server.ownPosition = (int) this.memberIds.stream()
				.filter((id) -> !id.equals(this.processId) && RendezvousHash.score(key, id) > own)
				.count();
		}
		return server.ownPosition;
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

		private int step;

		/** Timely first tokens since the step changed. */
		private int timelyCount;

		/** Late first tokens of the last seconds before the ramp, without timely ones. */
		private int recentLateCount;

		private long startedMillis;

		private long changedMillis;

		private long seenMillis;

		/** Position of this process among all, -1 if it isn't computed. */
		private int ownPosition = -1;

		private Server(int key, String name) {
			this.key = key;
			this.name = name;
		}

		private Server copy() {
			Server copy = new Server(this.key, this.name);
			copy.ramping = this.ramping;
			copy.step = this.step;
			copy.timelyCount = this.timelyCount;
			copy.recentLateCount = this.recentLateCount;
			copy.startedMillis = this.startedMillis;
			copy.changedMillis = this.changedMillis;
			copy.seenMillis = this.seenMillis;
			copy.ownPosition = this.ownPosition;
			return copy;
		}

	}

}
