package org.marjoramgw.rig;

import java.util.Map;

import org.marjoramgw.config.ServiceKind;

/**
 * Backend server of a deployment, with the side process of the same name beside it.
 *
 * @param name process id of the side process and name of the stand-in
 * @param kind kind of the backend server
 * @param pool pool that it belongs to
 * @param failureDomain its failure domain
 * @param options settings of its stand-in, by key
 * @author The marjoramgw authors
 */
public record BackendPlan(String name, ServiceKind kind, String pool, String failureDomain,
		Map<String, Object> options) {

	/**
	 * Copies the options.
	 */
	public BackendPlan {
		options = Map.copyOf(options);
	}

	/**
	 * Returns the name of its stand-in.
	 * @return the name, for example {@code engine.runner-1}
	 */
	public String standinName() {
		return ((this.kind == ServiceKind.MODEL) ? "engine." : "plain.") + this.name;
	}

}
