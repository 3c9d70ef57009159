package org.marjoramgw.entry.side;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.marjoramgw.wire.Message;

/**
 * Reservations and runs that are open at one side process, as seen on the link to it;
 * thread-safe.
 *
 * @author The marjoramgw authors
 */
final class OpenAttempts {

	private final Set<Attempt> open = ConcurrentHashMap.newKeySet();

	boolean isEmpty() {
		return this.open.isEmpty();
	}

	void onSent(Message message) {
		if (message instanceof Message.Reserve reserve) {
			this.open.add(new Attempt(reserve.requestId(), reserve.attempt()));
		}
		else if (message instanceof Message.Resume resume) {
			this.open.add(new Attempt(resume.requestId(), resume.attempt()));
		}
		else if (message instanceof Message.Release release) {
			this.open.remove(new Attempt(release.requestId(), release.attempt()));
		}
		else if (message instanceof Message.Cancel cancel) {
			this.open.remove(new Attempt(cancel.requestId(), cancel.attempt()));
		}
	}

	void onReceived(Message message) {
		if (message instanceof Message.Refusal refusal) {
			this.open.remove(new Attempt(refusal.requestId(), refusal.attempt()));
		}
		else if (message instanceof Message.End end) {
			this.open.remove(new Attempt(end.requestId(), end.attempt()));
		}
	}

	/**
	 * One attempt of a request.
	 *
	 * @param requestId id of the request
	 * @param attempt attempt number
	 */
	private record Attempt(String requestId, int attempt) {
	}

}
