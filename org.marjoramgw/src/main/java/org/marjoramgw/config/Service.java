package org.marjoramgw.config;

import java.util.List;

/**
 * Service that requests are routed to.
 *
 * @param name name of the service
 * @param kind kind of its backend servers
 * @param pool pool of backend servers that runs it
 * @param models models that it serves, empty for a plain service
 * @param dependsOn names of the services that it can't work without
 * @param nonRepeatable calls that may not be repeated, each as a method and a path prefix
 * such as {@code POST /orders}
 * @param checksFencing whether its backend servers refuse an old fencing number
 * @author The marjoramgw authors
 */
public record Service(String name, ServiceKind kind, String pool, List<String> models, List<String> dependsOn,
		List<String> nonRepeatable, boolean checksFencing) {

	/**
	 * Tells whether a call may run more than once.
	 * @param method name of the HTTP method
	 * @param path path at the backend server
	 * @return whether the call is repeatable
	 */
	public boolean isRepeatable(String method, String path) {
		String call = method + " " + path;
		return this.nonRepeatable.stream().noneMatch(call::startsWith);
	}

}
