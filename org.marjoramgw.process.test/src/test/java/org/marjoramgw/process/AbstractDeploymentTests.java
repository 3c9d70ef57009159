package org.marjoramgw.process;

import org.marjoramgw.rig.Deployment;
import org.marjoramgw.rig.DeploymentPlan;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;

/**
 * Base of the proofs: one running deployment for all tests of a class.
 *
 * @author The marjoramgw authors
 */
public abstract class AbstractDeploymentTests {

	private DeploymentFixture fixture;

	/**
	 * Starts the deployment.
	 * @throws Exception if it doesn't serve in time
	 */
	@BeforeClass
	public void start() throws Exception {
		this.fixture = DeploymentFixture.start(plan());
	}

	/**
	 * Stops the deployment.
	 */
	@AfterClass(alwaysRun = true)
	public void stop() {
		if (this.fixture != null) {
			this.fixture.close();
		}
	}

	/**
	 * Returns what to start.
	 * @return the plan of the deployment
	 */
	protected abstract DeploymentPlan plan();

	final DeploymentFixture fixture() {
		return this.fixture;
	}

	final Deployment deployment() {
		return this.fixture.deployment();
	}

}
