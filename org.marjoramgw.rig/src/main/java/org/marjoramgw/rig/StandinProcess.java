package org.marjoramgw.rig;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.apache.pekko.actor.typed.ActorSystem;
import org.marjoramgw.HostPort;
import org.marjoramgw.config.ServiceKind;
import org.marjoramgw.errors.HttpCallException;
import org.marjoramgw.http.BlockingHttpClient;
import org.marjoramgw.http.HttpReply;
import org.marjoramgw.vmlist.Vm;

/**
 * Process that holds all stand-ins of a deployment, with their controls.
 *
 * @author The marjoramgw authors
 */
public final class StandinProcess implements AutoCloseable {

	/** Name of the log service. */
	public static final String LOG = "log";

	/** Name of the VM list. */
	public static final String VM_LIST = "vmlist";

	/** Name of the weight store. */
	public static final String WEIGHT_STORE = "weights";

	/** Name of the fault proxy. */
	public static final String PROXY = "proxy";

	private static final String MAIN = "org.marjoramgw.standin.StandinMain";

	private static final long CALL_TIMEOUT_MILLIS = 10_000;

	private static final long HEALTHY_TIMEOUT_MILLIS = 30_000;

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final DeploymentPlan plan;

	private final ManagedProcess process;

	private final BlockingHttpClient http;

	private final Map<String, HostPort> links = new LinkedHashMap<>();

	StandinProcess(DeploymentPlan plan, JavaCommand java, Path directory, ActorSystem<?> system) {
		this.plan = plan;
		this.http = new BlockingHttpClient(system, CALL_TIMEOUT_MILLIS, "");
		List<String> command = java.of(JavaCommand.TOOL_OPTIONS, MAIN, List.of("all"));
		this.process = new ManagedProcess("standins", command, directory.resolve("standins.toml"), settings(plan));
	}

	/**
	 * Returns the process that holds the stand-ins.
	 * @return the process
	 */
	public ManagedProcess process() {
		return this.process;
	}

	/**
	 * Returns the address of a stand-in, past the fault proxy.
	 * @param standin name such as {@code engine.runner-1} or {@link #LOG}
	 * @return its HTTP address
	 */
	public HostPort address(String standin) {
		return this.process.address(standin);
	}

	/**
	 * Changes how a stand-in behaves.
	 * @param standin its name
	 * @param json body of its {@code PUT /control}
	 * @throws RigException if it refuses
	 */
	public void control(String standin, String json) throws RigException {
		put("http://" + controlAddress(standin) + "/control", json);
	}

	/**
	 * Reads what a backend server has run.
	 * @param standin name of an engine or plain service
	 * @return the list of executions
	 * @throws RigException if it doesn't answer
	 */
	public JsonNode executions(String standin) throws RigException {
		return get("http://" + controlAddress(standin) + "/control/executions").path("executions");
	}

	/**
	 * Changes a link through the fault proxy.
	 * @param kind kind of the link
	 * @param processName entry or side process that it belongs to
	 * @param json body of {@code PUT /links/NAME}
	 * @throws RigException if the proxy refuses
	 */
	public void link(LinkKind kind, String processName, String json) throws RigException {
		put("http://" + address(PROXY) + "/links/" + kind.linkName(processName), json);
	}

	/**
	 * Leads a link through the fault proxy, if the plan says so.
	 * @param kind kind of the link
	 * @param processName entry or side process that it belongs to
	 * @param target address behind the proxy
	 * @return address to connect to
	 * @throws RigException if the proxy refuses
	 */
	public synchronized HostPort through(LinkKind kind, String processName, HostPort target) throws RigException {
		if (!this.plan.proxied().contains(kind)) {
			return target;
		}
		String name = kind.linkName(processName);
		if (!this.links.containsKey(name)) {
			String json = write(Map.of("name", name, "target", target.toString()));
			JsonNode link = read(call(() -> this.http.post("http://" + address(PROXY) + "/links", json)));
			this.links.put(name, HostPort.parse(link.path("listen").asText()));
		}
		return this.links.get(name);
	}

	/**
	 * Writes a VM to the VM list.
	 * @param vm the VM
	 * @throws RigException if the VM list refuses
	 */
	public void putVm(Vm vm) throws RigException {
		put("http://" + address(VM_LIST) + "/vms/" + vm.id(), write(vm));
	}

	/**
	 * Removes a VM from the VM list.
	 * @param id id of the VM
	 * @throws RigException if the VM list refuses
	 */
	public void removeVm(String id) throws RigException {
		call(() -> this.http.delete("http://" + address(VM_LIST) + "/vms/" + id));
	}

	/**
	 * Reads a text from a process or stand-in.
	 * @param uri the absolute URI
	 * @return the body
	 * @throws RigException if it doesn't answer with success
	 */
	public String getText(String uri) throws RigException {
		return call(() -> this.http.get(uri)).body();
	}

	/**
	 * Stops the stand-ins.
	 */
	@Override
	public void close() {
		this.process.close();
	}

	void start() throws RigException {
		this.process.launch();
		this.process.awaitReady();
	}

	void awaitHealthy(HostPort entry) throws RigException {
		long deadlineNanos = System.nanoTime() + HEALTHY_TIMEOUT_MILLIS * 1_000_000;
		while (!isHealthy(entry)) {
			if (System.nanoTime() > deadlineNanos) {
				throw new RigException("entry at " + entry + " isn't healthy", null);
			}
			Polling.pause();
		}
	}

	private HostPort controlAddress(String standin) {
		return standin.startsWith("engine.") ? address(standin + ".control") : address(standin);
	}

	private boolean isHealthy(HostPort entry) {
		try {
			return this.http.get("http://" + entry + "/healthz").isOk();
		}
		catch (HttpCallException ex) {
			return false;
		}
	}

	private JsonNode get(String uri) throws RigException {
		return read(call(() -> this.http.get(uri)));
	}

	private void put(String uri, String json) throws RigException {
		call(() -> this.http.put(uri, json));
	}

	private static HttpReply call(Call call) throws RigException {
		try {
			HttpReply reply = call.send();
			if (!reply.isOk()) {
				throw new RigException("stand-in refuses: " + reply, null);
			}
			return reply;
		}
		catch (HttpCallException ex) {
			throw new RigException("stand-in can't be reached", ex);
		}
	}

	private static JsonNode read(HttpReply reply) throws RigException {
		try {
			return MAPPER.readTree(reply.body());
		}
		catch (JsonProcessingException ex) {
			throw new RigException("answer isn't JSON: " + reply.body(), ex);
		}
	}

	private static String write(Object value) {
		try {
			return MAPPER.writeValueAsString(value);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static Map<String, Object> settings(DeploymentPlan plan) {
		Map<String, Object> engines = new LinkedHashMap<>();
		Map<String, Object> plains = new LinkedHashMap<>();
		for (BackendPlan backend : plan.backends()) {
			Map<String, Object> target = (backend.kind() == ServiceKind.MODEL) ? engines : plains;
			target.put(backend.name(), backend.options());
		}
		Map<String, Object> settings = new LinkedHashMap<>();
		settings.put("engine", engines);
		settings.put("plain", plains);
		for (String name : List.of(LOG, VM_LIST, WEIGHT_STORE, PROXY)) {
			settings.put(name, plan.standinSettings().getOrDefault(name, Map.of()));
		}
		return settings;
	}

	/**
	 * HTTP call to a stand-in.
	 */
	@FunctionalInterface
	private interface Call {

		HttpReply send() throws HttpCallException;

	}

}
