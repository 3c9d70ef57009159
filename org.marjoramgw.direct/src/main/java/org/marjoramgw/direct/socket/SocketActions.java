package org.marjoramgw.direct.socket;

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

	private Runnable onTaking = NONE;

	private Runnable onEnded = NONE;

	void setOnReceived(Runnable action) {
		this.onReceived = action;
	}

	void setOnTaking(Runnable action) {
		this.onTaking = action;
	}

	void setOnEnded(Runnable action) {
		this.onEnded = action;
	}

	Runnable onReceived() {
		return this.onReceived;
	}

	Runnable onTaking() {
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
