package org.marjoramgw.direct.socket;

import java.util.function.Consumer;

import org.apache.pekko.util.ByteString;

/**
 * Actions to run on events of one socket. Not thread-safe; guarded by the lock of its
 * socket.
 *
 * @author The marjoramgw authors
 */
final class SocketActions {

	static final Runnable NONE = () -> {
	};

	private Runnable onReceived = NONE;

	private Consumer<ByteString> onTaking = (bytes) -> {
	};

	private Runnable onEnded = NONE;

	void setOnReceived(Runnable action) {
		this.onReceived = action;
	}

	void setOnTaking(Consumer<ByteString> action) {
		this.onTaking = action;
	}

	void setOnEnded(Runnable action) {
		this.onEnded = action;
	}

	Runnable onReceived() {
		return this.onReceived;
	}

	Consumer<ByteString> onTaking() {
		return this.onTaking;
	}

	/**
	 * Removes the action on the end of the connection, which runs once.
	 * @return the action
	 */
	Runnable takeOnEnded() {
		Runnable action = this.onEnded;
		this.onEnded = NONE;
		return action;
	}

}
