package org.marjoramgw.entry.dispatch;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.apache.pekko.actor.typed.ActorRef;

/**
 * Requests that this process has accepted and not finished; thread-safe.
 *
 * @author The marjoramgw authors
 */
public final class OpenRequests {

	private final Map<String, ActorRef<RequestEvent>> actorById = new ConcurrentHashMap<>();

	private final Map<String, Runnable> actionById = new ConcurrentHashMap<>();

	private final Map<String, Integer> countByClass = new ConcurrentHashMap<>();

	/**
	 * Counts a new request unless its class has reached the limit. A request that was
	 * counted must be closed with {@link #close}.
	 * @param requestClass name of the request class
	 * @param limit maximum number of open requests of one class
	 * @return whether the request may proceed
	 */
	public boolean tryOpen(String requestClass, int limit) {
		int count = this.countByClass.merge(requestClass, 1, Integer::sum);
		if (count > limit) {
			this.countByClass.merge(requestClass, -1, Integer::sum);
			return false;
		}
		return true;
	}

	/**
	 * Registers the actor that handles a request.
	 * @param requestId id of the request
	 * @param actor the actor, which receives the events of the request
	 */
	public void register(String requestId, ActorRef<RequestEvent> actor) {
		this.actorById.put(requestId, actor);
	}

	/**
	 * Sets the action to run when a request has finished.
	 * @param requestId id of the request
	 * @param action the action
	 */
	public void whenClosed(String requestId, Runnable action) {
		this.actionById.put(requestId, action);
	}

	/**
	 * Removes a finished request and decrements the count of its class.
	 * @param requestId id of the request
	 * @param requestClass name of the request class
	 */
	public void close(String requestId, String requestClass) {
		this.actorById.remove(requestId);
		this.countByClass.merge(requestClass, -1, Integer::sum);
		Runnable action = this.actionById.remove(requestId);
		if (action != null) {
			action.run();
		}
	}

	/**
	 * Sends an event to one request; dropped if the request is no longer open.
	 * @param requestId id of the request
	 * @param event the event
	 * @return whether the request is open
	 */
	public boolean tell(String requestId, RequestEvent event) {
		ActorRef<RequestEvent> actor = this.actorById.get(requestId);
		if (actor != null) {
			actor.tell(event);
		}
		return actor != null;
	}

	/**
	 * Sends an event to every open request.
	 * @param event the event
	 */
	public void tellAll(RequestEvent event) {
		this.actorById.values().forEach((actor) -> actor.tell(event));
	}

	/**
	 * Returns the number of open requests.
	 * @return the count over all classes
	 */
	public int count() {
		return this.countByClass.values().stream().mapToInt(Integer::intValue).sum();
	}

}
