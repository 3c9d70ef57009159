package org.marjoramgw.direct.model;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * One version of the configuration, with its routes, client accounts and limits.
 *
 * @author The marjoramgw authors
 */
public final class Routing {

	private final long version;

	private final Map<String, List<Route>> routesByHost;

	private final Map<String, Account> accountByKey;

	private final boolean keysRequired;

	private final CallerLimits limits;

	private final Map<String, EngineLimits> engineByService;

	private final Ranks ranks;

	/**
	 * Creates a configuration.
	 * @param version version of the configuration
	 * @param routes the routes
	 * @param accountByKey client accounts by their keys
	 * @param keysRequired whether requests need a key
	 * @param limits limits on callers
	 * @param engineByService limits of the engines of the services that have one
	 */
	public Routing(long version, List<Route> routes, Map<String, Account> accountByKey, boolean keysRequired,
			CallerLimits limits, Map<String, EngineLimits> engineByService) {
		this.version = version;
		this.routesByHost = routes.stream().collect(Collectors.groupingBy(Route::host));
		this.routesByHost.values().forEach((list) -> list.sort(longestPrefixFirst()));
		this.accountByKey = Map.copyOf(accountByKey);
		this.keysRequired = keysRequired;
		this.limits = limits;
		this.engineByService = Map.copyOf(engineByService);
		this.ranks = new Ranks(routes, accountByKey.values());
	}

	private static Comparator<Route> longestPrefixFirst() {
		return Comparator.comparingInt((Route route) -> route.pathPrefix().length()).reversed();
	}

	/**
	 * Returns the version of the configuration.
	 * @return the version
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Finds the route of a request.
	 * @param host host name of the request, without port
	 * @param path path of the request, not percent-decoded
	 * @return the route with the longest matching prefix, or empty if none matches
	 */
	public Optional<Route> route(String host, String path) {
		List<Route> routes = this.routesByHost.getOrDefault(host.toLowerCase(Locale.ROOT), List.of());
		for (Route route : routes) {
			if (path.startsWith(route.pathPrefix())) {
				return Optional.of(route);
			}
		}
		return Optional.empty();
	}

	/**
	 * Finds the client account of a key.
	 * @param key the key
	 * @return the account, or empty if the key is unknown
	 */
	public Optional<Account> account(String key) {
		return Optional.ofNullable(this.accountByKey.get(key));
	}

	/**
	 * Finds a key of a client account.
	 * @param accountName name of the account
	 * @return one of its keys, or empty if the account is unknown
	 */
	public Optional<String> keyOf(String accountName) {
		return this.accountByKey.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().name().equals(accountName))
			.map(Map.Entry::getKey)
			.findFirst();
	}

	/**
	 * Tells whether the requests of a route need a key.
	 * @param route the route
	 * @return whether they do
	 */
	public boolean needsKey(Route route) {
		return this.keysRequired && !route.anonymous();
	}

	/**
	 * Returns the rank of a request.
	 * @param account client account, or empty on an anonymous route
	 * @param route route of the request
	 * @return the rank; 0 is the most urgent
	 */
	public int rank(Optional<Account> account, Route route) {
		return this.ranks.rank(account, route);
	}

	/**
	 * Returns the rank under which a backend server queues a request.
	 * @param rank rank of the request
	 * @param late whether the request can no longer meet its latency target
	 * @return the rank; 0 is the most urgent
	 */
	public int serverRank(int rank, boolean late) {
		return this.ranks.serverRank(rank, late);
	}

	/**
	 * Returns the limits of the engines of a service.
	 * @param service name of the service
	 * @return the limits
	 */
	public EngineLimits engine(String service) {
		return this.engineByService.getOrDefault(service, EngineLimits.UNBOUNDED);
	}

	/**
	 * Returns the limits on callers.
	 * @return the limits
	 */
	public CallerLimits limits() {
		return this.limits;
	}

}
