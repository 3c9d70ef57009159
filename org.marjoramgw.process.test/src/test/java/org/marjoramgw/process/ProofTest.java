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
public abstract class ProofTest {

	private ProofBed bed;

	/**
	 * Starts the deployment.
	 * @throws Exception if it doesn't serve in time
	 */
	@BeforeClass
	public void start() throws Exception {
		this.bed = ProofBed.start(plan());
	}

	/**
	 * Stops the deployment.
	 */
	@AfterClass(alwaysRun = true)
	public void stop() {
		if (this.bed != null) {
			this.bed.close();
		}
	}

	/**
	 * Returns what to start.
	 * @return the plan of the deployment
	 */
	protected abstract DeploymentPlan plan();

	final ProofBed bed() {
		return this.bed;
	}

	final Deployment deployment() {
		return this.bed.deployment();
	}

}
