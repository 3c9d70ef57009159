package org.marjoramgw.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.marjoramgw.config.ServiceKind;
import org.marjoramgw.rig.BackendPlan;
import org.marjoramgw.rig.DeploymentPlan;
import org.marjoramgw.rig.EntryPlan;
import org.marjoramgw.rig.LinkKind;

/**
 * Deployment plans of the process tests: few processes in up to three failure domains,
 * with every link through the fault-injecting proxy.
 *
 * @author The marjoramgw authors
 */
final class DeploymentPlans {

	/** Failure domains; process number n is in the domain at index (n - 1) modulo 3. */
	static final List<String> FAILURE_DOMAINS = List.of("dal-a", "dal-b", "dal-c");

	private DeploymentPlans() {
	}

	/**
	 * Creates a plan.
	 * @param entryCount number of entries, named from {@code entry-1}
	 * @param runnerCount number of model runners, named from {@code runner-1}
	 * @param orderRunnerCount number of plain order runners, named from {@code orders-1}
	 * @return the plan
	 */
	static DeploymentPlan of(int entryCount, int runnerCount, int orderRunnerCount) {
		List<EntryPlan> entries = new ArrayList<>();
		for (int number = 1; number <= entryCount; number++) {
			entries.add(new EntryPlan("entry-" + number, domain(number)));
		}
		List<BackendPlan> backends = new ArrayList<>();
		for (int number = 1; number <= runnerCount; number++) {
			backends.add(new BackendPlan("runner-" + number, ServiceKind.MODEL, "model-runners", domain(number),
					Map.of("models", List.of(TestConfiguration.MODEL))));
		}
		for (int number = 1; number <= orderRunnerCount; number++) {
			backends
				.add(new BackendPlan("orders-" + number, ServiceKind.PLAIN, "order-runners", domain(number), Map.of()));
		}
		return new DeploymentPlan(entries, backends, Set.of(LinkKind.values()), Map.of(), Map.of(),
				TestConfiguration.text("first"));
	}

	private static String domain(int number) {
		return FAILURE_DOMAINS.get((number - 1) % FAILURE_DOMAINS.size());
	}

}
