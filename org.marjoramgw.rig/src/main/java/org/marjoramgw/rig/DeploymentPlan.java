package org.marjoramgw.rig;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Immutable description of a deployment to start.
 *
 * @param entries the entry VMs
 * @param backends the backend servers, each with its side process
 * @param proxiedLinks kinds of links that are routed through the fault proxy
 * @param processSettings additional settings of entries and side processes, by key
 * @param standinSettings settings of the platform stand-ins: tables by name ({@code log},
 * {@code vmlist}, {@code weights}) with their keys
 * @param configurationText configuration that is published before the processes start, or
 * an empty string
 * @author The marjoramgw authors
 */
public record DeploymentPlan(List<EntryPlan> entries, List<BackendPlan> backends, Set<LinkKind> proxiedLinks,
		Map<String, Object> processSettings, Map<String, Map<String, Object>> standinSettings,
		String configurationText) {

	/**
	 * Creates a plan with copies of the collections.
	 */
	public DeploymentPlan {
		entries = List.copyOf(entries);
		backends = List.copyOf(backends);
		proxiedLinks = Set.copyOf(proxiedLinks);
		processSettings = Map.copyOf(processSettings);
		standinSettings = Map.copyOf(standinSettings);
	}

	/**
	 * Creates a plan with default settings and without proxied links.
	 * @param entries the entry VMs
	 * @param backends the backend servers
	 * @param configurationText the configuration to publish
	 */
	public DeploymentPlan(List<EntryPlan> entries, List<BackendPlan> backends, String configurationText) {
		this(entries, backends, Set.of(), Map.of(), Map.of(), configurationText);
	}

	/**
	 * Returns a copy of this plan that routes links through the fault proxy.
	 * @param kinds the kinds of links
	 * @return the new plan
	 */
	public DeploymentPlan withProxiedLinks(LinkKind... kinds) {
		return new DeploymentPlan(this.entries, this.backends, Set.of(kinds), this.processSettings,
				this.standinSettings, this.configurationText);
	}

	/**
	 * Returns a copy of this plan with the given additional settings of entries and side
	 * processes.
	 * @param settings settings by key
	 * @return the new plan
	 */
	public DeploymentPlan withProcessSettings(Map<String, Object> settings) {
		return new DeploymentPlan(this.entries, this.backends, this.proxiedLinks, settings, this.standinSettings,
				this.configurationText);
	}

	/**
	 * Returns a copy of this plan with the given settings of the platform stand-ins.
	 * @param settings tables by name
	 * @return the new plan
	 */
	public DeploymentPlan withStandinSettings(Map<String, Map<String, Object>> settings) {
		return new DeploymentPlan(this.entries, this.backends, this.proxiedLinks, this.processSettings, settings,
				this.configurationText);
	}

	/**
	 * Returns a copy of this plan with the given configuration.
	 * @param text text of the configuration
	 * @return the new plan
	 */
	public DeploymentPlan withConfigurationText(String text) {
		return new DeploymentPlan(this.entries, this.backends, this.proxiedLinks, this.processSettings,
				this.standinSettings, text);
	}

}
