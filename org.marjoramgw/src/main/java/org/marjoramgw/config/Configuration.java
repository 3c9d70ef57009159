package org.marjoramgw.config;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Accepted configuration of a deployment.
 *
 * @param revision revision number, increasing from 1
 * @param services services by name
 * @param classes request classes by name
 * @param accounts client accounts by name
 * @param rules rules that classify requests, in the order in which they apply
 * @param limits limits and dispatch parameters
 * @author The marjoramgw authors
 */
public record Configuration(long revision, Map<String, Service> services, Map<String, RequestClass> classes,
		Map<String, ClientAccount> accounts, List<ClassRule> rules, Limits limits) {

	/**
	 * Finds the service that serves a model.
	 * @param model name of the model
	 * @return the service, or empty if no service has the model
	 */
	public Optional<Service> serviceOfModel(String model) {
		return this.services.values().stream().filter((service) -> service.models().contains(model)).findFirst();
	}

}
