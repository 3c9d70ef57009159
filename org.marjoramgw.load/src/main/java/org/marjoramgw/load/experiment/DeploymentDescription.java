package org.marjoramgw.load.experiment;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;

import org.marjoramgw.rig.BackendPlan;
import org.marjoramgw.rig.EntryPlan;

/**
 * Deployment that experiments run on, and the load of each request class.
 *
 * @param name name of the deployment
 * @param configurationFile file with the configuration text
 * @param entries the entry processes
 * @param backends the backend servers
 * @param loadsByClass load of each request class, by class name
 * @author The marjoramgw authors
 */
public record DeploymentDescription(String name, Path configurationFile, List<EntryPlan> entries,
		List<BackendPlan> backends, Map<String, RequestClassLoad> loadsByClass) {
}
