package org.marjoramgw.rig;

import java.util.LinkedHashMap;
import java.util.Map;

import org.marjoramgw.HostPort;
import org.marjoramgw.config.ServiceKind;

/**
 * Creates the settings of entries and side processes.
 *
 * @author The marjoramgw authors
 */
final class SettingsWriter {

	static final String PEER_TOKEN = "rig-peer-token";

	private static final String ANY_PORT = "127.0.0.1:0";

	private final DeploymentPlan plan;

	private final StandinProcess standins;

	SettingsWriter(DeploymentPlan plan, StandinProcess standins) {
		this.plan = plan;
		this.standins = standins;
	}

	Map<String, Object> entry(EntryPlan entry) throws RigException {
		return common(entry.name(), entry.failureDomain());
	}

	Map<String, Object> side(BackendPlan backend) throws RigException {
		Map<String, Object> settings = common(backend.name(), backend.failureDomain());
		HostPort target = this.standins.address(backend.standinName());
		HostPort backendAddress = this.standins.proxiedAddress(LinkKind.SIDE_BACKEND, backend.name(), target);
		settings.put("peer_address", ANY_PORT);
		settings.put("pool", backend.pool());
		settings.put("backend_url", "http://" + backendAddress);
		settings.put("kind", (backend.kind() == ServiceKind.MODEL) ? "model" : "plain");
		settings.put("weight_store_url", "http://" + this.standins.address(StandinProcess.WEIGHT_STORE));
		return settings;
	}

	private Map<String, Object> common(String name, String failureDomain) throws RigException {
		Map<String, Object> settings = new LinkedHashMap<>();
		settings.put("process_id", name);
		settings.put("failure_domain", failureDomain);
		settings.put("http_address", ANY_PORT);
		settings.put("peer_token", PEER_TOKEN);
		settings.put("operator_token", Deployment.OPERATOR_TOKEN);
		settings.put("log_url", url(LinkKind.PROCESS_TO_LOG, name, StandinProcess.LOG));
		settings.put("vm_list_url", url(LinkKind.PROCESS_TO_VM_LIST, name, StandinProcess.VM_LIST));
		settings.putAll(this.plan.processSettings());
		return settings;
	}

	private String url(LinkKind kind, String process, String standin) throws RigException {
		return "http://" + this.standins.proxiedAddress(kind, process, this.standins.address(standin));
	}

}
