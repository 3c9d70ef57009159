package org.marjoramgw.load.experiment;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;

import org.marjoramgw.rig.BackendPlan;
import org.marjoramgw.rig.EntryPlan;

/**
 * Deployment that experiments run on, with its mix of load.
 *
 * @param name name of the deployment
 * @param configurationFile file with the operators' text
 * @param entries the entry VMs
 * @param backends the backend servers
 * @param loadsByClass load of each class by its name
 * @author The marjoramgw authors
 */
public record DeploymentDescription(String name, Path configurationFile, List<EntryPlan> entries,
		List<BackendPlan> backends, Map<String, RequestClassLoad> loadsByClass) {
}
