package org.marjoramgw.direct.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

import org.marjoramgw.direct.backend.ServerHealth;
import org.marjoramgw.direct.caller.CallerRequest;
import org.marjoramgw.direct.follow.ServerDirectory;
import org.marjoramgw.direct.model.BackendServer;
import org.marjoramgw.direct.model.EngineLimits;
import org.marjoramgw.policy.fleet.FleetKeys;
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

	private final ServerHealth health;

	private final Function<String, EngineLimits> engineLimits;

	private final Placement promptPlacement;

	private final Placement plainPlacement;

	private final PromptPartition promptPartition;

	private final String failureDomain;

	/**
	 * Creates a selector.
	 * @param directory registered backend servers
	 * @param health load and failure state of backend servers
	 * @param engineLimits returns the limits of the engines of a service
	 * @param promptPlacement placement policy for requests with a prompt
	 * @param plainPlacement placement policy for other requests
	 * @param promptPartition partition of the servers by the length of prompts
	 * @param failureDomain failure domain of this process
	 */
	public ServerSelector(ServerDirectory directory, ServerHealth health, Function<String, EngineLimits> engineLimits,
			Placement promptPlacement, Placement plainPlacement, PromptPartition promptPartition,
			String failureDomain) {
		this.directory = directory;
		this.health = health;
		this.engineLimits = engineLimits;
		this.promptPlacement = promptPlacement;
		this.plainPlacement = plainPlacement;
		this.promptPartition = promptPartition;
		this.failureDomain = failureDomain;
	}

	/**
	 * Selects a server.
	 * @param service name of the service
	 * @param admitted admission of the request
	 * @param request the request
	 * @param excluded ids of servers that earlier attempts failed on
	 * @return the server, or empty if no usable server is left
	 */
	public Optional<BackendServer> choose(String service, AdmittedRequest admitted, CallerRequest request,
			Set<String> excluded) {
		List<BackendServer> servers = this.directory.usable(service);
		EngineLimits limits = this.engineLimits.apply(service);
		List<ServerView> views = new ArrayList<>();
		for (BackendServer server : servers) {
			views.add(new ServerView(server.id(), server.failureDomain(), this.health.load(server.id()),
					this.health.isSuspect(server.id()), FleetKeys.serverKey(server.incarnation()),
					slotCount(server, limits), limits.memoryTokens()));
		}
		Placement placement = request.promptParts().isEmpty() ? this.plainPlacement : this.promptPlacement;
		PlacementQuery query = query(service, admitted, request);
		placement.onUsable(query, views);
		return placement.choose(query, candidates(service, admitted.route().name(), views, excluded))
			.flatMap((view) -> servers.stream().filter((server) -> server.id().equals(view.id())).findFirst());
	}

	private PlacementQuery query(String service, AdmittedRequest admitted, CallerRequest request) {
		return new PlacementQuery(service, request.sharedPrefixKey(), this.failureDomain, request.sharedParts(),
				request.allPromptTokens(), admitted.route().targetLatencyMillis(), admitted.rank());
	}

	private static int slotCount(BackendServer server, EngineLimits limits) {
		int registered = (server.slotCount() > 0) ? server.slotCount() : Integer.MAX_VALUE;
		return (limits.slotCount() < Integer.MAX_VALUE) ? limits.slotCount() : registered;
	}

	private List<ServerView> candidates(String service, String kind, List<ServerView> servers, Set<String> excluded) {
		List<ServerView> part = without(excluded, this.promptPartition.select(service, kind, servers));
		return part.isEmpty() ? without(excluded, servers) : part;
	}

	private static List<ServerView> without(Set<String> excluded, List<ServerView> servers) {
		return servers.stream().filter((server) -> !excluded.contains(server.id())).toList();
	}

}
