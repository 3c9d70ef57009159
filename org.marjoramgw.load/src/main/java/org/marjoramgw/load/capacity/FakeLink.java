package org.marjoramgw.load.capacity;

import java.util.function.BiConsumer;

import org.marjoramgw.ResultCode;
import org.marjoramgw.rig.Deployment;
import org.marjoramgw.transport.Connection;
import org.marjoramgw.transport.ConnectionHandler;
import org.marjoramgw.vmlist.Vm;
import org.marjoramgw.wire.Message;
import org.marjoramgw.wire.MessageCodec;
import org.marjoramgw.wire.PeerIdentity;
import org.marjoramgw.wire.PeerStatus;

/**
 * Connection of a fake peer to a real process: greets, beats and counts.
 *
 * @author The marjoramgw authors
 */
final class FakeLink implements ConnectionHandler {

	private final Connection connection;

	private final PeerIdentity identity;

	private final WireCount count;

	private final BiConsumer<FakeLink, Message> work;

	private volatile PeerStatus status;

	private volatile boolean silent;

	private volatile boolean open = true;

	FakeLink(Connection connection, PeerIdentity identity, PeerStatus status, WireCount count,
			BiConsumer<FakeLink, Message> work) {
		this.connection = connection;
		this.identity = identity;
		this.status = status;
		this.count = count;
		this.work = work;
	}

	@Override
	public void onMessage(Message message) {
		this.count.count(message);
		if (this.silent) {
			return;
		}
		boolean isSide = Vm.SIDE.equals(this.identity.role());
		if (isSide && message instanceof Message.Hello) {
			greet();
		}
		else if (isSide && message instanceof Message.Heartbeat) {
			beat();
		}
		else if (!(message instanceof Message.Hello) && !(message instanceof Message.Heartbeat)) {
			this.work.accept(this, message);
		}
	}

	@Override
	public void onClosed(ResultCode reason) {
		this.open = false;
	}

	void greet() {
		send(new Message.Hello(MessageCodec.VERSION, Deployment.PEER_TOKEN, this.identity, this.status));
	}

	void beat() {
		send(new Message.Heartbeat(this.status));
	}

	void status(PeerStatus changed) {
		this.status = changed;
	}

	void send(Message message) {
		if (this.open && !this.silent) {
			this.count.count(message);
			this.connection.send(message);
		}
	}

	/**
	 * Goes silent for good without closing the connection.
	 */
	void vanish() {
		this.silent = true;
	}

	boolean isOpen() {
		return this.open;
	}

	void close() {
		this.connection.close();
	}

}
