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
 * Process that runs all stand-ins of a deployment, and client of their control APIs.
 *
 * @author The marjoramgw authors
 */
public final class StandinProcess implements AutoCloseable {

	/** Name of the log service stand-in. */
	public static final String LOG = "log";

	/** Name of the VM list stand-in. */
	public static final String VM_LIST = "vmlist";

	/** Name of the weight store stand-in. */
	public static final String WEIGHT_STORE = "weights";

	/** Name of the fault-injecting proxy. */
	public static final String PROXY = "proxy";

	private static final String MAIN = "org.marjoramgw.standin.StandinMain";

	private static final long CALL_TIMEOUT_MILLIS = 10_000;

	private static final long HEALTHY_TIMEOUT_MILLIS = 30_000;

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final DeploymentPlan plan;

	private final ManagedProcess process;

	private final BlockingHttpClient http;

	private final Map<String, HostPort> linkAddresses = new LinkedHashMap<>();

	StandinProcess(DeploymentPlan plan, JavaCommand java, Path directory, ActorSystem<?> system) {
		this.plan = plan;
		this.http = new BlockingHttpClient(system, CALL_TIMEOUT_MILLIS, "");
		List<String> command = java.commandLine(JavaCommand.TOOL_OPTIONS, MAIN, List.of("all"));
		this.process = new ManagedProcess("standins", command, directory.resolve("standins.toml"), settings(plan));
	}

	/**
	 * Returns the process that runs the stand-ins.
	 * @return the process
	 */
	public ManagedProcess process() {
		return this.process;
	}

	/**
	 * Returns the address of a stand-in, bypassing the fault proxy.
	 * @param standin name such as {@code engine.runner-1} or {@link #LOG}
	 * @return its HTTP address
	 */
	public HostPort address(String standin) {
		return this.process.address(standin);
	}

	/**
	 * Sets the faults of a stand-in.
	 * @param standin name of the stand-in
	 * @param json body of {@code PUT /control}
	 * @throws RigException if the stand-in rejects the request
	 */
	public void control(String standin, String json) throws RigException {
		put("http://" + controlAddress(standin) + "/control", json);
	}

	/**
	 * Returns the recorded executions of a backend server.
	 * @param standin name of an engine or plain service
	 * @return the executions
	 * @throws RigException if the stand-in does not respond
	 */
	public JsonNode executions(String standin) throws RigException {
		return get("http://" + controlAddress(standin) + "/control/executions").path("executions");
	}

	/**
	 * Sets the faults of a link through the fault proxy.
	 * @param kind kind of the link
	 * @param processName name of the entry or side process of the link
	 * @param json body of {@code PUT /links/NAME}
	 * @throws RigException if the proxy rejects the request
	 */
	public void controlLink(LinkKind kind, String processName, String json) throws RigException {
		put("http://" + address(PROXY) + "/links/" + kind.linkName(processName), json);
	}

	/**
	 * Returns the address to use for a link: an address of the fault proxy if the plan
	 * routes this kind of link through it, otherwise the target itself.
	 * @param kind kind of the link
	 * @param processName name of the entry or side process of the link
	 * @param target address of the target
	 * @return address to connect to
	 * @throws RigException if the proxy rejects the request
	 */
	public synchronized HostPort proxiedAddress(LinkKind kind, String processName, HostPort target)
			throws RigException {
		if (!this.plan.proxiedLinks().contains(kind)) {
			return target;
		}
		String name = kind.linkName(processName);
		if (!this.linkAddresses.containsKey(name)) {
			String json = write(Map.of("name", name, "target", target.toString()));
			JsonNode link = read(execute(() -> this.http.post("http://" + address(PROXY) + "/links", json)));
			this.linkAddresses.put(name, HostPort.parse(link.path("listen").asText()));
		}
		return this.linkAddresses.get(name);
	}

	/**
	 * Adds or replaces a VM in the VM list.
	 * @param vm the VM
	 * @throws RigException if the VM list rejects the request
	 */
	public void putVm(Vm vm) throws RigException {
		put("http://" + address(VM_LIST) + "/vms/" + vm.id(), write(vm));
	}

	/**
	 * Removes a VM from the VM list.
	 * @param id id of the VM
	 * @throws RigException if the VM list rejects the request
	 */
	public void removeVm(String id) throws RigException {
		execute(() -> this.http.delete("http://" + address(VM_LIST) + "/vms/" + id));
	}

	/**
	 * Reads a text resource of a process or stand-in.
	 * @param uri the absolute URI
	 * @return the body
	 * @throws RigException if the response is not successful
	 */
	public String getText(String uri) throws RigException {
		return execute(() -> this.http.get(uri)).body();
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
				throw new RigException("entry at " + entry + " did not become healthy", null);
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
		return read(execute(() -> this.http.get(uri)));
	}

	private void put(String uri, String json) throws RigException {
		execute(() -> this.http.put(uri, json));
	}

	private static HttpReply execute(Call call) throws RigException {
		try {
			HttpReply reply = call.send();
			if (!reply.isOk()) {
				throw new RigException("stand-in rejected the request: " + reply, null);
			}
			return reply;
		}
		catch (HttpCallException ex) {
			throw new RigException("stand-in cannot be reached", ex);
		}
	}

	private static JsonNode read(HttpReply reply) throws RigException {
		try {
			return MAPPER.readTree(reply.body());
		}
		catch (JsonProcessingException ex) {
			throw new RigException("response is not JSON: " + reply.body(), ex);
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
	 * HTTP request to a stand-in.
	 */
	@FunctionalInterface
	private interface Call {

		HttpReply send() throws HttpCallException;

	}

}
