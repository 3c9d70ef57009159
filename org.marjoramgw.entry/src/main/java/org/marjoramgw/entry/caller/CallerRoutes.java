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
	 * @param parts parts of the entry
	 */
	public CallerRoutes(ActorSystem<?> system, EntryContext parts) {
		this.handler = new CallerRequestHandler(system, parts);
	}

	/**
	 * Returns the routes.
	 * @return a route that answers every path
	 */
	public Route route() {
		return concat(
				path(PathMatchers.segment("v1").slash("chat").slash("completions"),
						() -> post(() -> extractRequest((http) -> completeWithFuture(this.handler.chat(http))))),
				path(PathMatchers.segment("v1")
					.slash("services")
					.slash(PathMatchers.segment())
					.slash(PathMatchers.remaining()),
						(service,
								rest) -> post(() -> extractRequest(
										(http) -> completeWithFuture(this.handler.plain(http, service, rest))))),
				extractRequest((http) -> completeWithFuture(this.handler.unknownPath(http))));
	}

}
