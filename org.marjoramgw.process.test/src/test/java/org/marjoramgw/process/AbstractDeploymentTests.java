package org.marjoramgw.process;

import org.marjoramgw.rig.Deployment;
import org.marjoramgw.rig.DeploymentPlan;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;

/**
 * Base class of tests that share one running deployment per class.
 *
 * @author The marjoramgw authors
 */
public abstract class AbstractDeploymentTests {

	private DeploymentFixture fixture;

	/**
	 * Starts the deployment.
	 * @throws Exception if it doesn't serve requests in time
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
	 * Returns the plan of the deployment to start.
	 * @return the plan
	 */
	protected abstract DeploymentPlan plan();

	final DeploymentFixture fixture() {
		return this.fixture;
	}

	final Deployment deployment() {
		return this.fixture.deployment();
	}

}
