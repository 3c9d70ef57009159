package org.marjoramgw.direct.caller;

import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.marjoramgw.policy.waiting.Urgency;
import org.marjoramgw.time.ClockReading;

/**
 * Request of which only a preview is known, since its connection waits to be opened.
 *
 * @author The marjoramgw authors
 */
public interface UnreadRequest {

	/**
	 * Returns the urgency of the request.
	 * @return its place among all requests that wait
	 */
	Urgency urgency();

	/**
	 * Returns how long the request may go on waiting.
	 * @return time after which it is refused, in milliseconds
	 */
	long maxWaitMillis();

	/**
	 * Refuses the request because its time has ended. It never runs.
	 * @return the complete response
	 */
	HttpResponse refuse();

	/**
	 * Creates unread requests.
	 */
	@FunctionalInterface
	interface Factory {

		/**
		 * Creates an unread request.
		 * @param preview preview of the request
		 * @param arrived when its first bytes were read
		 * @return the request
		 */
		UnreadRequest create(HeadPreview preview, ClockReading arrived);

	}

}
