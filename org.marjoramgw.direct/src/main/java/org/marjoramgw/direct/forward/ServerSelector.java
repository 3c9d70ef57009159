package org.marjoramgw.direct.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.marjoramgw.direct.backend.ServerHealth;
import org.marjoramgw.direct.caller.CallerRequest;
import org.marjoramgw.direct.follow.ServerDirectory;
import org.marjoramgw.direct.model.BackendServer;
import org.marjoramgw.policy.placement.Placement;
import org.marjoramgw.policy.placement.ServerView;

/**
 * Selects the backend server for an attempt.
 *
 * @author The marjoramgw authors
 */
public final class ServerSelector {

	private final ServerDirectory directory;

	private final ServerHealth health;

	private final Placement promptPlacement;

	private final Placement plainPlacement;

	private final String failureDomain;

	/**
	 * Creates a selector.
	 * @param directory registered backend servers
	 * @param health load and failure state of backend servers
	 * @param promptPlacement placement policy for requests with a prompt
	 * @param plainPlacement placement policy for other requests
	 * @param failureDomain failure domain of this process
	 */
	public ServerSelector(ServerDirectory directory, ServerHealth health, Placement promptPlacement,
			Placement plainPlacement, String failureDomain) {
		this.directory = directory;
		this.health = health;
		this.promptPlacement = promptPlacement;
		this.plainPlacement = plainPlacement;
		this.failureDomain = failureDomain;
	}

	/**
	 * Selects a server.
	 * @param service name of the service
	 * @param request the request
	 * @param excluded ids of servers that earlier attempts failed on
	 * @return the server, or empty if no usable server is left
	 */
	public Optional<BackendServer> choose(String service, CallerRequest request, Set<String> excluded) {
		List<BackendServer> servers = this.directory.usable(service);
		servers.removeIf((server) -> excluded.contains(server.id()));
		List<ServerView> views = new ArrayList<>();
		for (BackendServer server : servers) {
			views.add(new ServerView(server.id(), server.failureDomain(), this.health.load(server.id()),
					this.health.isSuspect(server.id())));
		}
		Placement placement = request.promptParts().isEmpty() ? this.plainPlacement : this.promptPlacement;
		return placement.choose(request.sharedPrefixKey(), this.failureDomain, views)
			.flatMap((view) -> servers.stream().filter((server) -> server.id().equals(view.id())).findFirst());
	}

}
