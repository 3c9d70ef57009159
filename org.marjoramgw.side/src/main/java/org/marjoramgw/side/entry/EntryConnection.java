package org.marjoramgw.side.entry;

import org.marjoramgw.ResultCode;
import org.marjoramgw.side.scheduler.EntryLink;
import org.marjoramgw.side.scheduler.SchedulerCommand;
import org.marjoramgw.transport.Connection;
import org.marjoramgw.transport.ConnectionHandler;
import org.marjoramgw.wire.HelloCheck;
import org.marjoramgw.wire.Message;
import org.marjoramgw.wire.MessageCodec;
import org.marjoramgw.wire.PeerIdentity;
import org.marjoramgw.wire.PeerStatus;
import org.tinylog.Logger;

/**
 * One connection of an entry: greets, checks the token and passes messages on.
 *
 * @author The marjoramgw authors
 */
final class EntryConnection implements ConnectionHandler, EntryLink {

	private final Connection connection;

	private final EntryConnections owner;

	private volatile PeerIdentity peer;

	private final Liveness liveness;

	private volatile boolean openRequests;

	private volatile boolean closed;

	EntryConnection(Connection connection, EntryConnections owner) {
		this.connection = connection;
		this.owner = owner;
		this.liveness = new Liveness(owner.intervals(), owner.clock().nowMillis());
	}

	@Override
	public PeerIdentity peer() {
		return this.peer;
	}

	@Override
	public void setOpenRequests(boolean open) {
		this.openRequests = open;
	}

	@Override
	public void send(Message message) {
		this.liveness.sent(message, this.owner.clock().nowMillis());
		this.connection.send(message);
	}

	@Override
	public synchronized void onMessage(Message message) {
		if (this.closed) {
			return;
		}
		boolean woke = this.liveness.heard(message, this.owner.clock().nowMillis());
		if (this.peer == null) {
			greet(message);
			return;
		}
		if (woke) {
			send(new Message.Heartbeat(this.owner.status()));
		}
		receive(message);
	}

	private void receive(Message message) {
		if (message instanceof Message.Heartbeat heartbeat) {
			onHeartbeat(heartbeat.status());
		}
		else if (message instanceof Message.ConfigFetch fetch) {
			this.owner.configuration().replyTo(fetch).ifPresent(this::send);
		}
		else if (message instanceof Message.ConfigText text) {
			this.owner.configuration().offerFromPeer(text);
		}
		else if (message instanceof Message.Goodbye) {
			drop(ResultCode.PEER_CLOSED);
		}
		else {
			this.owner.tell(new SchedulerCommand.FromEntry(this, message));
		}
	}

	@Override
	public void onClosed(ResultCode reason) {
		drop(reason);
	}

	/**
	 * Sends a heartbeat if one is due, or drops a silent peer.
	 * @param status what this process does now
	 * @param atOnce whether to send one even if none is due
	 */
	void beat(PeerStatus status, boolean atOnce) {
		long nowMillis = this.owner.clock().nowMillis();
		if (this.liveness.isSilent(nowMillis)) {
			drop(ResultCode.PEER_SILENT);
		}
		else if (this.peer != null && (atOnce || this.liveness.isHeartbeatDue(this.openRequests, nowMillis))) {
			send(new Message.Heartbeat(status));
		}
	}

	void close() {
		drop(ResultCode.SIDE_LEAVING);
	}

	private void greet(Message message) {
		ResultCode refusal = check(message);
		if (refusal != null) {
			send(new Message.Goodbye(refusal.number()));
			drop(refusal);
			return;
		}
		Message.Hello hello = (Message.Hello) message;
		this.peer = hello.peer();
		send(new Message.Hello(MessageCodec.VERSION, this.owner.token(), this.owner.self(), this.owner.status()));
		this.owner.tell(new SchedulerCommand.EntryConnected(this));
		compareRevision(hello.status());
	}

	private ResultCode check(Message message) {
		if (!(message instanceof Message.Hello hello)) {
			return ResultCode.BAD_TOKEN;
		}
		return HelloCheck.refusal(hello, this.owner.token()).orElse(null);
	}

	private void onHeartbeat(PeerStatus status) {
		compareRevision(status);
		if (this.liveness.isAnswerDue(this.owner.clock().nowMillis())) {
			send(new Message.Heartbeat(this.owner.status()));
		}
	}

	private void compareRevision(PeerStatus status) {
		this.owner.configuration().fetchRequestFor(status).ifPresent(this::send);
	}

	private void drop(ResultCode reason) {
		synchronized (this) {
			if (this.closed) {
				return;
			}
			this.closed = true;
		}
		Logger.info("connection of entry {} is gone: E{} {}", name(), reason.number(), reason.text());
		this.connection.close();
		this.owner.remove(this, reason);
		if (this.peer != null) {
			this.owner.tell(new SchedulerCommand.EntryGone(this));
		}
	}

	private String name() {
		return (this.peer != null) ? this.peer.processId() : "(unknown)";
	}

}
