package org.marjoramgw.entry.dispatch;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.apache.pekko.actor.typed.ActorRef;

/**
 * Requests under way in this process; thread-safe.
 *
 * @author The marjoramgw authors
 */
public final class OpenRequests {

	private final Map<String, ActorRef<RequestEvent>> actorById = new ConcurrentHashMap<>();

	private final Map<String, Integer> countByClass = new ConcurrentHashMap<>();

	/**
	 * Takes a place for a request.
	 * @param requestClass name of its class
	 * @param bound bound of the open requests of one class
	 * @return whether there was a place
	 */
	public boolean tryOpen(String requestClass, int bound) {
		int count = this.countByClass.merge(requestClass, 1, Integer::sum);
		if (count > bound) {
			this.countByClass.merge(requestClass, -1, Integer::sum);
			return false;
		}
		return true;
	}

	/**
	 * Registers the actor of a request.
	 * @param requestId id of the request
	 * @param actor the actor that takes its events
	 */
	public void register(String requestId, ActorRef<RequestEvent> actor) {
		this.actorById.put(requestId, actor);
	}

	/**
	 * Gives the place of a request back.
	 * @param requestId id of the request
	 * @param requestClass name of its class
	 */
	public void close(String requestId, String requestClass) {
		this.actorById.remove(requestId);
		this.countByClass.merge(requestClass, -1, Integer::sum);
	}

	/**
	 * Sends an event to one request; one that is over is passed over.
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
	 * Returns how many requests are open.
	 * @return the count over all classes
	 */
	public int count() {
		return this.countByClass.values().stream().mapToInt(Integer::intValue).sum();
	}

}
