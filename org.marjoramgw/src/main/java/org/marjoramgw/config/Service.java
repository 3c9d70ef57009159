package org.marjoramgw.config;

import java.util.List;

/**
 * Service that requests are routed to.
 *
 * @param name name of the service
 * @param kind kind of the backend servers
 * @param pool pool of backend servers that runs the service
 * @param models models that the service serves, empty for a plain service
 * @param dependsOn names of the services that it depends on
 * @param nonRepeatable calls that may not be repeated, each as a method and a path prefix
 * such as {@code POST /orders}
 * @param checksFencing whether the backend servers refuse an old fencing number
 * @author The marjoramgw authors
 */
public record Service(String name, ServiceKind kind, String pool, List<String> models, List<String> dependsOn,
		List<String> nonRepeatable, boolean checksFencing) {

	/**
	 * Tells whether a call may be executed more than once.
	 * @param method the HTTP method
	 * @param path request path at the backend server
	 * @return whether the call is repeatable
	 */
	public boolean isRepeatable(String method, String path) {
		String call = method + " " + path;
		return this.nonRepeatable.stream().noneMatch(call::startsWith);
	}

}
