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
 * Connection to one side process, with the handshake, the peer's last status and the
 * times of recent messages; thread-safe.
 *
 * @author The marjoramgw authors
 */
final class SideLink implements ConnectionHandler {

	private final Vm vm;

	private final Connection connection;

	private final SideLinkListener listener;

	private final MillisClock clock;

	private final long idleAfterMillis;

	private final OpenAttempts openAttempts = new OpenAttempts();

	private volatile PeerIdentity identity;

	private volatile PeerStatus status;

	private volatile boolean listedAsLive = true;

	private volatile long lastReceivedMillis;

	private volatile long lastSentMillis;

	private volatile long lastNonHeartbeatMillis;

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
			onNonHeartbeat(this.lastReceivedMillis);
			this.openAttempts.onReceived(message);
			this.listener.onMessage(this, message);
		}
	}

	@Override
	public void onClosed(ResultCode reason) {
		this.listener.onClosed(this, reason);
	}

	void send(Message message) {
		this.lastSentMillis = this.clock.nowMillis();
		if (!(message instanceof Message.Heartbeat)) {
			onNonHeartbeat(this.lastSentMillis);
			this.openAttempts.onSent(message);
		}
		this.connection.send(message);
	}

	void close() {
		this.connection.close();
	}

	void setListedAsLive(boolean live) {
		this.listedAsLive = live;
	}

	boolean isAvailable(String pool) {
		PeerStatus current = this.status;
		return this.listedAsLive && current != null && !current.leaving() && this.vm.pool().equals(pool);
	}

	boolean isEstablished() {
		return this.identity != null;
	}

	Candidate candidate() {
		PeerStatus current = this.status;
		return new Candidate(this.vm.id(), this.vm.failureDomain(), current.inFlight(), current.queued(),
				current.slotLimit());
	}

	OptionalLong incarnation() {
		PeerIdentity peer = this.identity;
		return (peer != null) ? OptionalLong.of(peer.incarnation()) : OptionalLong.empty();
	}

	Vm vm() {
		return this.vm;
	}

	/**
	 * Returns for how long the peer has sent nothing. The time starts anew when the link
	 * becomes busy, since the peer sends heartbeats less often while the link is idle.
	 * @return time since its last message or since the link became busy, in milliseconds
	 */
	long silentMillis() {
		return this.clock.nowMillis() - Math.max(this.lastReceivedMillis, this.busySinceMillis);
	}

	/**
	 * Tells whether heartbeats are due at the shorter interval.
	 * @return whether requests are open at the peer, or a message other than a heartbeat
	 * was sent or received recently
	 */
	boolean isBusy() {
		return idleMillis() < this.idleAfterMillis || !this.openAttempts.isEmpty();
	}

	long sinceLastSendMillis() {
		return this.clock.nowMillis() - this.lastSentMillis;
	}

	long idleMillis() {
		return this.clock.nowMillis() - this.lastNonHeartbeatMillis;
	}

	private void onNonHeartbeat(long nowMillis) {
		if (nowMillis - this.lastNonHeartbeatMillis >= this.idleAfterMillis && this.openAttempts.isEmpty()) {
			this.busySinceMillis = nowMillis;
		}
		this.lastNonHeartbeatMillis = nowMillis;
	}

	private void onHello(Message.Hello hello) {
		Optional<ResultCode> refusal = this.listener.checkHello(hello);
		if (refusal.isPresent()) {
			this.listener.onRejected(this, refusal.get());
			return;
		}
		this.status = hello.status();
		this.identity = hello.peer();
		this.listener.onEstablished(this, hello);
	}

}
