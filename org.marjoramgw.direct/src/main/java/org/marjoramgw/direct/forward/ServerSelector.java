package org.marjoramgw.direct.forward;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.marjoramgw.direct.caller.CallerRequest;
import org.marjoramgw.direct.follow.ServerDirectory;
import org.marjoramgw.direct.model.BackendServer;
import org.marjoramgw.direct.model.Route;
import org.marjoramgw.policy.partition.PromptPartition;
import org.marjoramgw.policy.placement.Placement;
import org.marjoramgw.policy.placement.PlacementQuery;
import org.marjoramgw.policy.placement.ServerView;

/**
 * Selects the backend server for an attempt.
 *
 * @author The marjoramgw authors
 */
public final class ServerSelector {

	private final ServerDirectory directory;

	private final ServerViews serverViews;

	private final Placement placement;

	private final PromptPartition promptPartition;

	private final String failureDomain;

	/**
	 * Creates a selector.
	 * @param directory registered backend servers
	 * @param serverViews what the placement policies are told of each server
	 * @param placement placement policy
	 * @param promptPartition partition of the servers by the length of prompts
	 * @param failureDomain failure domain of this process
	 */
	public ServerSelector(ServerDirectory directory, ServerViews serverViews, Placement placement,
			PromptPartition promptPartition, String failureDomain) {
		this.directory = directory;
		this.serverViews = serverViews;
		this.placement = placement;
		this.promptPartition = promptPartition;
		this.failureDomain = failureDomain;
	}

	/**
	 * Selects a server.
	 * @param service name of the service
	 * @param route route of the request
	 * @param request the request
	 * @param allowed tells whether the request may be sent to a server
	 * @return the server, or empty if no usable server is left
	 */
	public Optional<BackendServer> choose(String service, Route route, CallerRequest request,
			Predicate<BackendServer> allowed) {
		return select(service, route, request, allowed).server();
	}

	/**
	 * Selects a server, and tells among which ones.
	 * @param service name of the service
	 * @param route route of the request
	 * @param request the request
	 * @param allowed tells whether the request may be sent to a server
	 * @return the selection
	 */
	Selection select(String service, Route route, CallerRequest request, Predicate<BackendServer> allowed) {
		List<BackendServer> servers = this.directory.usable(service);
		List<ServerView> views = servers.stream().map(this.serverViews::of).toList();
		PlacementQuery query = query(service, route, request);
		this.placement.onUsable(query, views);
		Set<String> excluded = servers.stream()
			.filter(allowed.negate())
			.map(BackendServer::id)
			.collect(Collectors.toSet());
		List<ServerView> candidates = candidates(service, route.name(), views, excluded);
		Optional<BackendServer> chosen = this.placement.choose(query, candidates)
			.flatMap((view) -> servers.stream().filter((server) -> server.id().equals(view.id())).findFirst());
		return new Selection(chosen, candidates, this.placement, query);
	}

	/**
	 * Returns what the placement policies are told of a server.
	 * @param server the server
	 * @return the view
	 */
	ServerView view(BackendServer server) {
		return this.serverViews.of(server);
	}

	private PlacementQuery query(String service, Route route, CallerRequest request) {
		return new PlacementQuery(service, request.sharedPrefixKey(), this.failureDomain, request.allPromptTokens(),
				route.maxPauseMillis());
	}

	private List<ServerView> candidates(String service, String kind, List<ServerView> servers, Set<String> excluded) {
		List<ServerView> part = without(excluded, this.promptPartition.select(service, kind, servers));
		return part.isEmpty() ? without(excluded, servers) : part;
	}

	private static List<ServerView> without(Set<String> excluded, List<ServerView> servers) {
		return servers.stream().filter((server) -> !excluded.contains(server.id())).toList();
	}

	/**
	 * Selection of a server.
	 *
	 * @param server the server, or empty if no usable server is left
	 * @param candidates servers that the placement chose from
	 * @param placement the placement
	 * @param query the request as the placement saw it
	 */
	record Selection(Optional<BackendServer> server, List<ServerView> candidates, Placement placement,
			PlacementQuery query) {

		String rule() {
			return this.placement.rule(this.query, this.candidates);
		}

	}

}
