package org.marjoramgw.entry.caller;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.server.AllDirectives;
import org.apache.pekko.http.javadsl.server.PathMatchers;
import org.apache.pekko.http.javadsl.server.Route;

/**
 * HTTP routes for callers.
 *
 * @author The marjoramgw authors
 */
public final class CallerRoutes extends AllDirectives {

	private final CallerRequestHandler handler;

	/**
	 * Creates the routes.
	 * @param system the actor system that runs the requests
	 * @param entryContext components of the entry that requests use
	 */
	public CallerRoutes(ActorSystem<?> system, EntryContext entryContext) {
		this.handler = new CallerRequestHandler(system, entryContext);
	}

	/**
	 * Returns the routes for callers.
	 * @return a route that handles every path; an unknown one is rejected
	 */
	public Route route() {
		return concat(
				path(PathMatchers.segment("v1").slash("chat").slash("completions"),
						() -> post(() -> extractRequest((http) -> completeWithFuture(this.handler.handleChat(http))))),
				path(PathMatchers.segment("v1")
					.slash("services")
					.slash(PathMatchers.segment())
					.slash(PathMatchers.remaining()),
						(service,
								remainingPath) -> post(() -> extractRequest((http) -> completeWithFuture(
										this.handler.handlePlainService(http, service, remainingPath))))),
				extractRequest((http) -> completeWithFuture(this.handler.rejectUnknownPath(http))));
	}

}
