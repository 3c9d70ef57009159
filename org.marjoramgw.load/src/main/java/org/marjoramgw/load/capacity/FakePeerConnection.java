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
 * Connection of a fake peer to a real process. Sends the hello message and heartbeats,
 * and counts the traffic.
 *
 * @author The marjoramgw authors
 */
final class FakePeerConnection implements ConnectionHandler {

	private final Connection connection;

	private final PeerIdentity identity;

	private final TrafficCounter trafficCounter;

	private final BiConsumer<FakePeerConnection, Message> messageHandler;

	private volatile PeerStatus status;

	private volatile boolean silent;

	private volatile boolean open = true;

	FakePeerConnection(Connection connection, PeerIdentity identity, PeerStatus status, TrafficCounter trafficCounter,
			BiConsumer<FakePeerConnection, Message> messageHandler) {
		this.connection = connection;
		this.identity = identity;
		this.status = status;
		this.trafficCounter = trafficCounter;
		this.messageHandler = messageHandler;
	}

	@Override
	public void onMessage(Message message) {
		this.trafficCounter.add(message);
		if (this.silent) {
			return;
		}
		boolean isSide = Vm.SIDE.equals(this.identity.role());
		if (isSide && message instanceof Message.Hello) {
			sendHello();
		}
		else if (isSide && message instanceof Message.Heartbeat) {
			sendHeartbeat();
		}
		else if (!(message instanceof Message.Hello) && !(message instanceof Message.Heartbeat)) {
			this.messageHandler.accept(this, message);
		}
	}

	@Override
	public void onClosed(ResultCode reason) {
		this.open = false;
	}

	void sendHello() {
		send(new Message.Hello(MessageCodec.VERSION, Deployment.PEER_TOKEN, this.identity, this.status));
	}

	void sendHeartbeat() {
		send(new Message.Heartbeat(this.status));
	}

	void setStatus(PeerStatus newStatus) {
		this.status = newStatus;
	}

	void send(Message message) {
		if (this.open && !this.silent) {
			this.trafficCounter.add(message);
			this.connection.send(message);
		}
	}

	/**
	 * Stops sending messages permanently, without closing the connection.
	 */
	void goSilent() {
		this.silent = true;
	}

	boolean isOpen() {
		return this.open;
	}

	void close() {
		this.connection.close();
	}

}
