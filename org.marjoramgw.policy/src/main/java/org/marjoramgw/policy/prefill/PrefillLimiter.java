package org.marjoramgw.policy.prefill;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

import org.marjoramgw.MillisClock;
import org.marjoramgw.policy.waiting.Urgency;

/**
 * Limits the prompts in prefill at each backend server; thread-safe.
 * <p>
 * Handles bursts of long prompts. If all prompts of a burst were sent, the server would
 * process them in order, and soon each would wait for the whole queue and miss its
 * target. Requests above the limit of their kind therefore wait here and are admitted by
 * urgency. Each less urgent prompt in prefill makes room for one more, and when a first
 * token is late, the limit of the least urgent kind falls. A request that has waited for
 * {@link #maxWaitMillis} can no longer meet its target: its owner sends it without a
 * permit, behind those of its rank that still can.
 *
 * @author The marjoramgw authors
 */
public final class PrefillLimiter {

	/** Fraction of the target within which the first token is due after the send. */
	private static final double FIRST_TOKEN_FRACTION = 0.6;

	/** Fraction of the target for which a request may wait for its permit. */
	private static final double MAX_WAIT_FRACTION = 0.3;

	private final MillisClock clock;

	private final Executor executor;

	private final LongSupplier lagMillis;

	private final Map<String, ServerPrompts> promptsByServer = new HashMap<>();

	private long nextSequence;

	/**
	 * Creates a limiter.
	 * @param clock monotonic clock
	 * @param executor runs the start tasks of requests that had to wait
	 * @param lagMillis scheduling lag of this process in milliseconds, which is not held
	 * against a server
	 */
	public PrefillLimiter(MillisClock clock, Executor executor, LongSupplier lagMillis) {
		this.clock = clock;
		this.executor = executor;
		this.lagMillis = lagMillis;
	}

	/**
	 * Returns how long a request may wait for its permit before it is sent without one.
	 * @param targetMillis target of its kind of request for the time to the first token,
	 * in milliseconds
	 * @return time in milliseconds
	 */
	public static long maxWaitMillis(long targetMillis) {
		return (long) (MAX_WAIT_FRACTION * targetMillis);
	}

	/**
	 * Requests a permit and starts the request once it is admitted, at once if the server
	 * is below its limit.
	 * @param serverId id of the server
	 * @param kind kind of request; each kind has a limit of its own
	 * @param urgency urgency of the request
	 * @param targetMillis target of the kind for the time to the first token, in
	 * milliseconds
	 * @param start starts the request; may be called before this method returns
	 * @return the permit, admitted or still waiting
	 */
	public Permit acquire(String serverId, String kind, Urgency urgency, long targetMillis, Runnable start) {
		Permit permit;
		synchronized (this) {
			permit = new Permit(serverId, kind, urgency, this.nextSequence++, targetMillis, start);
			ServerPrompts prompts = this.promptsByServer.computeIfAbsent(serverId, (key) -> new ServerPrompts());
			if (!prompts.mayAdmit(permit)) {
				prompts.await(permit);
				return permit;
			}
			prompts.admit(permit);
		}
		start.run();
		return permit;
	}

	/**
	 * Returns the queue of a server as a request would find it that asked for a permit
	 * now.
	 * @param serverId id of the server
	 * @param kind kind of request
	 * @param urgency urgency of the request
	 * @return the queue
	 */
	public synchronized PrefillQueue queue(String serverId, String kind, Urgency urgency) {
		ServerPrompts prompts = this.promptsByServer.get(serverId);
		return ((prompts != null) ? prompts : new ServerPrompts()).queue(kind, urgency);
	}

	/**
	 * Starts all requests that wait for a permit at a server, the most urgent first and
	 * without a permit, because they have to go to another one.
	 * @param serverId id of the server
	 */
	public void startWaiting(String serverId) {
		List<Permit> waiting = new ArrayList<>();
		synchronized (this) {
			ServerPrompts prompts = this.promptsByServer.get(serverId);
			if (prompts != null) {
				waiting.addAll(prompts.takeWaiting());
			}
			waiting.forEach((permit) -> permit.released = true);
		}
		start(waiting);
	}

	/**
	 * Returns the number of requests that wait for a permit.
	 * @return the number of requests for all servers
	 */
	public synchronized int waitingCount() {
		return this.promptsByServer.values().stream().mapToInt(ServerPrompts::waitingCount).sum();
	}

	/**
	 * Discards the adapted limits of servers that no longer exist, unless requests still
	 * wait for them or are in prefill there.
	 * @param isKnown returns whether a server still exists
	 */
	public synchronized void retainServers(Predicate<String> isKnown) {
		this.promptsByServer.entrySet()
			.removeIf((entry) -> entry.getValue().isEmpty() && !isKnown.test(entry.getKey()));
	}

	private void release(Permit permit, boolean firstToken) {
		start(remove(permit, firstToken));
	}

	private void start(List<Permit> permits) {
		permits.forEach((permit) -> this.executor.execute(permit.start));
	}

	private synchronized List<Permit> remove(Permit permit, boolean firstToken) {
		ServerPrompts prompts = this.promptsByServer.get(permit.serverId);
		if (permit.released || prompts == null) {
			return List.of();
		}
		permit.released = true;
		long nowMillis = this.clock.nowMillis();
		if (prompts.remove(permit) && permit.sent) {
			adapt(prompts, permit, firstToken, nowMillis);
		}
		return prompts.admitWaiting();
	}

	private synchronized void onSent(Permit permit) {
		permit.sent = true;
		permit.sentMillis = this.clock.nowMillis();
		permit.lagAtSendMillis = this.lagMillis.getAsLong();
	}

	private List<Permit> bypass(Permit permit) {
		ServerPrompts prompts = this.promptsByServer.get(permit.serverId);
		if (permit.released || prompts == null) {
			return List.of();
		}
		prompts.bypass(permit);
		return prompts.admitWaiting();
	}

	private void adapt(ServerPrompts prompts, Permit permit, boolean firstToken, long nowMillis) {
		long waitMillis = nowMillis - permit.sentMillis;
		long maxMillis = (long) (FIRST_TOKEN_FRACTION * permit.targetMillis);
		if (waitMillis <= maxMillis) {
			if (firstToken) {
				prompts.onTimely(permit.kind);
			}
		}
		else if (waitMillis - permit.lagAtSendMillis - this.lagMillis.getAsLong() > maxMillis) {
			prompts.onLate(permit, nowMillis);
		}
	}

	/**
	 * Permit of one request, admitted or waiting.
	 */
	public final class Permit {

		private final String serverId;

		private final String kind;

		private final Urgency urgency;

		private final long sequence;

		private final long targetMillis;

		private final Runnable start;

		private boolean sent;

		private long sentMillis;

		private long lagAtSendMillis;

		private boolean released;

		private Permit(String serverId, String kind, Urgency urgency, long sequence, long targetMillis,
				Runnable start) {
			this.serverId = serverId;
			this.kind = kind;
			this.urgency = urgency;
			this.sequence = sequence;
			this.targetMillis = targetMillis;
			this.start = start;
		}

		/**
		 * Records that the prompt is sent. Its first token is due from now on.
		 */
		public void onSent() {
			PrefillLimiter.this.onSent(this);
		}

		/**
		 * Ends the wait because the prompt is sent without being admitted. Until its
		 * release it makes room for a more urgent prompt at the same server.
		 */
		public void bypass() {
			List<Permit> admitted;
			synchronized (PrefillLimiter.this) {
				admitted = PrefillLimiter.this.bypass(this);
			}
			PrefillLimiter.this.start(admitted);
		}

		/**
		 * Releases the permit because the first token arrived; further calls do nothing.
		 */
		public void onFirstToken() {
			PrefillLimiter.this.release(this, true);
		}

		/**
		 * Releases the permit because the request ended; further calls do nothing.
		 */
		public void release() {
			PrefillLimiter.this.release(this, false);
		}

		String kind() {
			return this.kind;
		}

		Urgency urgency() {
			return this.urgency;
		}

		long sequence() {
			return this.sequence;
		}

		long sentMillis() {
			return this.sentMillis;
		}

	}

}
