package org.marjoramgw.entry.side;

import java.util.Optional;
import java.util.OptionalLong;

import org.marjoramgw.MillisClock;
import org.marjoramgw.ResultCode;
import org.marjoramgw.policy.candidate.Candidate;
import org.marjoramgw.transport.Connection;
import org.marjoramgw.transport.ConnectionHandler;
import org.marjoramgw.vmlist.Vm;
import org.marjoramgw.wire.Message;
import org.marjoramgw.wire.PeerIdentity;
import org.marjoramgw.wire.PeerStatus;

/**
 * One connection to a side process; thread-safe.
 *
 * @author The marjoramgw authors
 */
final class SideLink implements ConnectionHandler {

	private final Vm vm;

	private final Connection connection;

	private final SideLinkListener listener;

	private final MillisClock clock;

	private final long idleAfterMillis;

	private final OpenAttempts work = new OpenAttempts();

	private volatile PeerIdentity identity;

	private volatile PeerStatus status;

	private volatile boolean listedAsLive = true;

	private volatile long lastReceivedMillis;

	private volatile long lastSentMillis;

	private volatile long lastWorkMillis;

	private volatile long busySinceMillis;

	SideLink(Vm vm, Connection connection, SideLinkListener listener, MillisClock clock, long idleAfterMillis) {
		this.vm = vm;
		this.connection = connection;
		this.listener = listener;
		this.clock = clock;
		this.idleAfterMillis = idleAfterMillis;
		this.lastReceivedMillis = clock.nowMillis();
	}

	@Override
	public void onMessage(Message message) {
		this.lastReceivedMillis = this.clock.nowMillis();
		if (message instanceof Message.Hello hello) {
			onHello(hello);
		}
		else if (message instanceof Message.Goodbye goodbye) {
			this.listener.onRejected(this, ResultCode.ofNumber(goodbye.code()).orElse(ResultCode.PEER_CLOSED));
		}
		else if (this.identity == null) {
			this.listener.onRejected(this, ResultCode.BAD_FRAME);
		}
		else if (message instanceof Message.Heartbeat heartbeat) {
			this.status = heartbeat.status();
			this.listener.onStatus(this, heartbeat.status());
		}
		else {
			onWorkAt(this.lastReceivedMillis);
			this.work.onReceived(message);
			this.listener.onWork(this, message);
		}
	}

	@Override
	public void onClosed(ResultCode reason) {
		this.listener.onClosed(this, reason);
	}

	void send(Message message) {
		this.lastSentMillis = this.clock.nowMillis();
		if (!(message instanceof Message.Heartbeat)) {
			onWorkAt(this.lastSentMillis);
			this.work.onSent(message);
		}
		this.connection.send(message);
	}

	void close() {
		this.connection.close();
	}

	void listAsLive(boolean live) {
		this.listedAsLive = live;
	}

	boolean takesWork(String pool) {
		PeerStatus now = this.status;
		return this.listedAsLive && now != null && !now.leaving() && this.vm.pool().equals(pool);
	}

	boolean isGreeted() {
		return this.identity != null;
	}

	Candidate candidate() {
		PeerStatus now = this.status;
		return new Candidate(this.vm.id(), this.vm.failureDomain(), now.inFlight(), now.queued(), now.slotLimit());
	}

	OptionalLong incarnation() {
		PeerIdentity peer = this.identity;
		return (peer != null) ? OptionalLong.of(peer.incarnation()) : OptionalLong.empty();
	}

	Vm vm() {
		return this.vm;
	}

	/**
	 * Returns for how long the peer has been silent though it had reason to speak.
	 * @return time since its last message or since the link became busy, in milliseconds
	 */
	long silentMillis() {
		return this.clock.nowMillis() - Math.max(this.lastReceivedMillis, this.busySinceMillis);
	}

	/**
	 * Tells whether the peer has to send heartbeats at the fast pace.
	 * @return whether requests are open there or a message about one passed lately
	 */
	boolean isBusy() {
		return idleMillis() < this.idleAfterMillis || !this.work.isEmpty();
	}

	long quietMillis() {
		return this.clock.nowMillis() - this.lastSentMillis;
	}

	long idleMillis() {
		return this.clock.nowMillis() - this.lastWorkMillis;
	}

	private void onWorkAt(long nowMillis) {
		if (nowMillis - this.lastWorkMillis >= this.idleAfterMillis && this.work.isEmpty()) {
			this.busySinceMillis = nowMillis;
		}
		this.lastWorkMillis = nowMillis;
	}

	private void onHello(Message.Hello hello) {
		Optional<ResultCode> refusal = this.listener.refusal(hello);
		if (refusal.isPresent()) {
			this.listener.onRejected(this, refusal.get());
			return;
		}
		this.status = hello.status();
		this.identity = hello.peer();
		this.listener.onGreeted(this, hello);
	}

}
