package org.marjoramgw.entry.side;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.marjoramgw.wire.Message;

/**
 * Attempts that have a reservation or run at one side process, tracked from the messages
 * on its link; thread-safe.
 *
 * @author The marjoramgw authors
 */
final class OpenAttempts {

	private final Set<Attempt> attempts = ConcurrentHashMap.newKeySet();

	boolean isEmpty() {
		return this.attempts.isEmpty();
	}

	void onSent(Message message) {
		if (message instanceof Message.Reserve reserve) {
			this.attempts.add(new Attempt(reserve.requestId(), reserve.attempt()));
		}
		else if (message instanceof Message.Resume resume) {
			this.attempts.add(new Attempt(resume.requestId(), resume.attempt()));
		}
		else if (message instanceof Message.Release release) {
			this.attempts.remove(new Attempt(release.requestId(), release.attempt()));
		}
		else if (message instanceof Message.Cancel cancel) {
			this.attempts.remove(new Attempt(cancel.requestId(), cancel.attempt()));
		}
	}

	void onReceived(Message message) {
		if (message instanceof Message.Refusal refusal) {
			this.attempts.remove(new Attempt(refusal.requestId(), refusal.attempt()));
		}
		else if (message instanceof Message.End end) {
			this.attempts.remove(new Attempt(end.requestId(), end.attempt()));
		}
	}

	/**
	 * Attempt of a request.
	 *
	 * @param requestId id of the request
	 * @param attempt attempt number
	 */
	private record Attempt(String requestId, int attempt) {
	}

}
