package org.marjoramgw.side.entry;

import org.marjoramgw.ResultCode;
import org.marjoramgw.side.scheduler.EntryLink;
import org.marjoramgw.side.scheduler.SchedulerCommand;
import org.marjoramgw.transport.Connection;
import org.marjoramgw.transport.ConnectionHandler;
import org.marjoramgw.wire.HelloValidator;
import org.marjoramgw.wire.Message;
import org.marjoramgw.wire.MessageCodec;
import org.marjoramgw.wire.PeerIdentity;
import org.marjoramgw.wire.PeerStatus;
import org.tinylog.Logger;

/**
 * Connection from one entry. Checks the hello message and its token, exchanges heartbeats
 * and configurations, and forwards other messages to the scheduler.
 *
 * @author The marjoramgw authors
 */
final class EntryConnection implements ConnectionHandler, EntryLink {

	private final Connection connection;

	private final EntryConnections connections;

	private volatile PeerIdentity peer;

	private final Liveness liveness;

	private volatile boolean hasOpenRequests;

	private volatile boolean closed;

	EntryConnection(Connection connection, EntryConnections connections) {
		this.connection = connection;
		this.connections = connections;
		this.liveness = new Liveness(connections.intervals(), connections.clock().nowMillis());
	}

	@Override
	public PeerIdentity peer() {
		return this.peer;
	}

	@Override
	public void setOpenRequests(boolean open) {
		this.hasOpenRequests = open;
	}

	@Override
	public void send(Message message) {
		this.liveness.onSent(message, this.connections.clock().nowMillis());
		this.connection.send(message);
	}

	@Override
	public synchronized void onMessage(Message message) {
		if (this.closed) {
			return;
		}
		boolean becameBusy = this.liveness.onReceived(message, this.connections.clock().nowMillis());
		if (this.peer == null) {
			onHello(message);
			return;
		}
		if (becameBusy) {
			send(new Message.Heartbeat(this.connections.status()));
		}
		dispatch(message);
	}

	private void dispatch(Message message) {
		if (message instanceof Message.Heartbeat heartbeat) {
			onHeartbeat(heartbeat.status());
		}
		else if (message instanceof Message.ConfigFetch fetch) {
			this.connections.configuration().replyTo(fetch).ifPresent(this::send);
		}
		else if (message instanceof Message.ConfigText text) {
			this.connections.configuration().offerFromPeer(text);
		}
		else if (message instanceof Message.Goodbye) {
			drop(ResultCode.PEER_CLOSED);
		}
		else {
			this.connections.tell(new SchedulerCommand.EntryMessage(this, message));
		}
	}

	@Override
	public void onClosed(ResultCode reason) {
		drop(reason);
	}

	/**
	 * Closes the connection if the peer has timed out, else sends a heartbeat if one is
	 * due.
	 * @param status status of this process
	 * @param force whether to send a heartbeat even if none is due
	 */
	void checkHeartbeat(PeerStatus status, boolean force) {
		long nowMillis = this.connections.clock().nowMillis();
		if (this.liveness.isTimedOut(nowMillis)) {
			drop(ResultCode.PEER_SILENT);
		}
		else if (this.peer != null && (force || this.liveness.isHeartbeatDue(this.hasOpenRequests, nowMillis))) {
			send(new Message.Heartbeat(status));
		}
	}

	void close() {
		drop(ResultCode.SIDE_LEAVING);
	}

	private void onHello(Message message) {
		ResultCode refusal = refusalOf(message);
		if (refusal != null) {
			send(new Message.Goodbye(refusal.number()));
			drop(refusal);
			return;
		}
		Message.Hello hello = (Message.Hello) message;
		this.peer = hello.peer();
		send(new Message.Hello(MessageCodec.VERSION, this.connections.token(), this.connections.self(),
				this.connections.status()));
		this.connections.tell(new SchedulerCommand.EntryConnected(this));
		fetchNewerConfiguration(hello.status());
	}

	private ResultCode refusalOf(Message message) {
		if (!(message instanceof Message.Hello hello)) {
			return ResultCode.BAD_TOKEN;
		}
		return HelloValidator.validate(hello, this.connections.token()).orElse(null);
	}

	private void onHeartbeat(PeerStatus status) {
		fetchNewerConfiguration(status);
		if (this.liveness.isReplyDue(this.connections.clock().nowMillis())) {
			send(new Message.Heartbeat(this.connections.status()));
		}
	}

	private void fetchNewerConfiguration(PeerStatus status) {
		this.connections.configuration().fetchRequestFor(status).ifPresent(this::send);
	}

	private void drop(ResultCode reason) {
		synchronized (this) {
			if (this.closed) {
				return;
			}
			this.closed = true;
		}
		Logger.info("connection from entry {} is gone: E{} {}", peerName(), reason.number(), reason.text());
		this.connection.close();
		this.connections.remove(this, reason);
		if (this.peer != null) {
			this.connections.tell(new SchedulerCommand.EntryDisconnected(this));
		}
	}

	private String peerName() {
		return (this.peer != null) ? this.peer.processId() : "(unknown)";
	}

}
