package org.marjoramgw.direct.caller;

/**
 * Connection of one caller, on which one request at a time is answered; thread-safe.
 *
 * @author The marjoramgw authors
 */
public final class CallerConnection {

	private boolean closed;

	private Runnable onClose;

	/**
	 * Sets what happens to the request under way when the caller closes the connection.
	 * @param action what is done; at once if the connection is closed already
	 */
	public void whenClosed(Runnable action) {
		synchronized (this) {
			this.onClose = action;
			if (!this.closed) {
				return;
			}
		}
		action.run();
	}

	/**
	 * Notes that no request is under way.
	 */
	public synchronized void idle() {
		this.onClose = null;
	}

	/**
	 * Notes that the caller closed the connection.
	 */
	public void close() {
		Runnable action;
		synchronized (this) {
			this.closed = true;
			action = this.onClose;
		}
		if (action != null) {
			action.run();
		}
	}

}
