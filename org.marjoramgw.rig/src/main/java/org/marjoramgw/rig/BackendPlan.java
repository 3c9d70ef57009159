package org.marjoramgw.rig;

import java.util.Map;

import org.marjoramgw.config.ServiceKind;

/**
 * Backend server of a deployment, with the side process of the same name.
 *
 * @param name process id of the side process and name of the stand-in
 * @param kind kind of the backend server
 * @param pool pool of the backend server
 * @param failureDomain failure domain of the backend server
 * @param options settings of the stand-in, by key
 * @author The marjoramgw authors
 */
public record BackendPlan(String name, ServiceKind kind, String pool, String failureDomain,
		Map<String, Object> options) {

	/**
	 * Creates a plan with a copy of the options.
	 */
	public BackendPlan {
		options = Map.copyOf(options);
	}

	/**
	 * Returns the name of the stand-in.
	 * @return the name, for example {@code engine.runner-1}
	 */
	public String standinName() {
		return ((this.kind == ServiceKind.MODEL) ? "engine." : "plain.") + this.name;
	}

}
