package org.marjoramgw.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.marjoramgw.SystemMillisClock;
import org.marjoramgw.config.ConfigurationPublisher;
import org.marjoramgw.config.PublishResult;
import org.marjoramgw.config.ServiceKind;
import org.marjoramgw.http.BlockingHttpClient;
import org.marjoramgw.http.HttpReply;
import org.marjoramgw.log.HttpLogService;
import org.marjoramgw.rig.BackendPlan;
import org.marjoramgw.rig.CallResult;
import org.marjoramgw.rig.ChatCall;
import org.marjoramgw.rig.Deployment;
import org.marjoramgw.rig.DeploymentPlan;
import org.marjoramgw.rig.LinkKind;
import org.marjoramgw.rig.ManagedProcess;
import org.marjoramgw.rig.RequestClient;
import org.marjoramgw.rig.RigException;
import org.marjoramgw.rig.ServiceCall;
import org.marjoramgw.rig.StandinProcess;
import org.marjoramgw.rig.TokenListener;
import org.marjoramgw.settings.TomlTable;
import org.marjoramgw.standin.engine.EngineSettings;
import org.marjoramgw.standin.engine.ResponseText;

/**
 * Running deployment of a test, with helpers that send calls, inject faults and read the
 * state of its processes.
 *
 * @author The marjoramgw authors
 */
final class DeploymentFixture implements AutoCloseable {

	private static final String OPERATOR_TOKEN = "rig-operator-token";

	private static final long OPERATOR_TIMEOUT_MILLIS = 5_000;

	private static final long ANSWER_TIMEOUT_MILLIS = 90_000;

	/** The most records that the log stand-in returns at once. */
	private static final int MAX_READ_COUNT = 10_000;

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final ActorSystem<Void> system = ActorSystem.create(Behaviors.empty(), "proof");

	private final RequestClient caller = new RequestClient(this.system, ANSWER_TIMEOUT_MILLIS);

	private final BlockingHttpClient operator = new BlockingHttpClient(this.system, OPERATOR_TIMEOUT_MILLIS,
			OPERATOR_TOKEN);

	private final Deployment deployment;

	private DeploymentFixture(DeploymentPlan plan) throws RigException {
		try {
			this.deployment = Deployment.start(plan, this.system);
		}
		catch (RigException ex) {
			this.system.terminate();
			throw ex;
		}
	}

	/**
	 * Starts a deployment and waits until every entry can reach every pool.
	 * @param plan what to start
	 * @return the running deployment
	 * @throws Exception if it doesn't serve requests in time
	 */
	static DeploymentFixture start(DeploymentPlan plan) throws Exception {
		DeploymentFixture fixture = new DeploymentFixture(plan);
		try {
			fixture.awaitServing();
			return fixture;
		}
		catch (Exception | AssertionError ex) {
			fixture.close();
			throw ex;
		}
	}

	Deployment deployment() {
		return this.deployment;
	}

	StandinProcess standins() {
		return this.deployment.standins();
	}

	CompletableFuture<CallResult> chat(String entry, String requestClass, String prompt) {
		return chat(entry, requestClass, prompt, TokenListener.NONE);
	}

	CompletableFuture<CallResult> chat(String entry, String requestClass, String prompt, TokenListener listener) {
		ChatCall call = new ChatCall(this.deployment.entry(entry).address("http"), TestConfiguration.KEY, requestClass,
				TestConfiguration.MODEL, prompt, true);
		return this.caller.chat(call, listener).toCompletableFuture();
	}

	/**
	 * Sends an order, which is not repeatable.
	 * @param entry name of the entry
	 * @param order unique text of the order
	 * @param key idempotency key, or an empty string
	 * @return the answer
	 */
	CompletableFuture<CallResult> order(String entry, String order, String key) {
		return service(entry, "orders", order, key);
	}

	/**
	 * Requests a quote, which is repeatable.
	 * @param entry name of the entry
	 * @param quote unique text of the quote
	 * @return the answer
	 */
	CompletableFuture<CallResult> quote(String entry, String quote) {
		return service(entry, "quotes", quote, "");
	}

	private CompletableFuture<CallResult> service(String entry, String path, String text, String key) {
		return this.caller
			.service(new ServiceCall(this.deployment.entry(entry).address("http"), TestConfiguration.KEY,
					TestConfiguration.ORDER_CLASS, "orders", path, "{\"order\":\"" + text + "\"}", key))
			.toCompletableFuture();
	}

	static CallResult await(CompletableFuture<CallResult> answer) throws Exception {
		return answer.get(ANSWER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
	}

	static String expectedAnswer(String prompt) throws Exception {
		ResponseText answer = new ResponseText(prompt, EngineSettings.read(TomlTable.ofText("engine", "")));
		return answer.text(answer.tokenCount());
	}

	static String sha256(String prompt) throws Exception {
		return new ResponseText(prompt, EngineSettings.read(TomlTable.ofText("engine", ""))).sha256();
	}

	/**
	 * Counts the runs of an order or quote at all plain backend servers.
	 * @param order unique text of the order or quote
	 * @return number of runs
	 * @throws RigException if a stand-in doesn't answer
	 */
	int runsOfOrder(String order) throws RigException {
		int runs = 0;
		for (BackendPlan backend : backends(ServiceKind.PLAIN)) {
			runs += runsOfOrder(order, backend);
		}
		return runs;
	}

	/**
	 * Counts the runs of an order or quote at one plain backend server.
	 * @param order unique text of the order or quote
	 * @param backend the backend server
	 * @return number of runs at this backend server
	 * @throws RigException if the stand-in doesn't answer
	 */
	int runsOfOrder(String order, BackendPlan backend) throws RigException {
		int runs = 0;
		for (JsonNode execution : standins().executions(backend.standinName())) {
			runs += execution.path("body").asText().contains("\"" + order + "\"") ? 1 : 0;
		}
		return runs;
	}

	/**
	 * Counts the generations that were started for a prompt at all engines.
	 * @param prompt the prompt
	 * @return number of generations
	 * @throws Exception if a stand-in doesn't answer
	 */
	int runsOfPrompt(String prompt) throws Exception {
		String sha256 = sha256(prompt);
		int runs = 0;
		for (BackendPlan backend : backends(ServiceKind.MODEL)) {
			for (JsonNode execution : standins().executions(backend.standinName())) {
				runs += execution.path("prompt_sha256").asText().equals(sha256) ? 1 : 0;
			}
		}
		return runs;
	}

	/**
	 * Finds the backend server that is running the generation of a prompt.
	 * @param prompt the prompt
	 * @return name of its side process, or an empty string if none runs it
	 * @throws Exception if a stand-in doesn't answer
	 */
	String runnerOf(String prompt) throws Exception {
		String sha256 = sha256(prompt);
		for (BackendPlan backend : backends(ServiceKind.MODEL)) {
			for (JsonNode execution : standins().executions(backend.standinName())) {
				if (execution.path("prompt_sha256").asText().equals(sha256)
						&& execution.path("state").asText().equals("running")) {
					return backend.name();
				}
			}
		}
		return "";
	}

	List<BackendPlan> backends(ServiceKind kind) {
		return this.deployment.plan().backends().stream().filter((backend) -> backend.kind() == kind).toList();
	}

	List<ManagedProcess> processes() {
		List<ManagedProcess> all = new ArrayList<>(this.deployment.entries());
		all.addAll(this.deployment.sides());
		return all;
	}

	JsonNode status(ManagedProcess process) throws Exception {
		return MAPPER.readTree(this.operator.get(operatorUrl(process, "status")).body()).path("status");
	}

	long revision(ManagedProcess process) throws Exception {
		return status(process).path("config_revision").asLong();
	}

	JsonNode explain(ManagedProcess process, String requestId) throws Exception {
		return MAPPER.readTree(this.operator.get(operatorUrl(process, "explain/" + requestId)).body());
	}

	void drain(ManagedProcess process) throws Exception {
		HttpReply reply = this.operator.post(operatorUrl(process, "drain"), "");
		if (!reply.isOk()) {
			throw new IllegalStateException("drain refused: " + reply);
		}
	}

	String metrics(ManagedProcess process) throws Exception {
		return this.operator.get("http://" + process.address("http") + "/metrics").body();
	}

	JsonNode platformJson(String standin, String path) throws Exception {
		return MAPPER.readTree(standins().getText("http://" + standins().address(standin) + path));
	}

	/**
	 * Counts the effective appends to the claim streams of the log.
	 * @return number of appends
	 * @throws Exception if the log stand-in doesn't answer
	 */
	long claimAppendCount() throws Exception {
		long count = 0;
		for (Map.Entry<String, JsonNode> stream : platformJson(StandinProcess.LOG, "/control").path("append_counts")
			.properties()) {
			count += stream.getKey().startsWith("claim") ? stream.getValue().asLong() : 0;
		}
		return count;
	}

	/**
	 * Tells whether the result of an order with an idempotency key is in a claim stream
	 * of the log, read at the stand-in itself and not through the links.
	 * @param body body of the answer, which is different for each order
	 * @return whether it is recorded
	 * @throws Exception if the log stand-in doesn't answer
	 */
	boolean isResultRecorded(String body) throws Exception {
		for (Map.Entry<String, JsonNode> stream : platformJson(StandinProcess.LOG, "/control").path("append_counts")
			.properties()) {
			if (stream.getKey().startsWith("claim") && hasResult(stream.getKey(), body)) {
				return true;
			}
		}
		return false;
	}

	private boolean hasResult(String stream, String body) throws Exception {
		String path = "/streams/" + stream + "/records?from=0&limit=" + MAX_READ_COUNT;
		for (JsonNode logRecord : platformJson(StandinProcess.LOG, path).path("records")) {
			JsonNode claimRecord = MAPPER.readTree(logRecord.path("data").asText());
			if (claimRecord.path("type").asText().equals("result") && claimRecord.path("kept").asBoolean()
					&& claimRecord.path("body").asText().equals(body)) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Publishes a configuration from this process, which takes less time than the
	 * operators' command.
	 * @param text text of the configuration
	 * @param baseRevision revision that the text is based on
	 * @return result of the publish
	 * @throws Exception if the log stand-in doesn't answer
	 */
	PublishResult publish(String text, long baseRevision) throws Exception {
		HttpLogService log = new HttpLogService(new BlockingHttpClient(this.system, OPERATOR_TIMEOUT_MILLIS, ""),
				"http://" + standins().address(StandinProcess.LOG));
		return new ConfigurationPublisher(log, new SystemMillisClock(), OPERATOR_TIMEOUT_MILLIS).publish(text,
				baseRevision, "proof");
	}

	void controlLink(LinkKind kind, String process, String json) throws RigException {
		standins().controlLink(kind, process, json);
	}

	/**
	 * Sets the response time of the plain services.
	 * @param delayMillis delay of each call, in milliseconds
	 * @throws RigException if a stand-in doesn't answer
	 */
	void setPlainDelay(long delayMillis) throws RigException {
		for (BackendPlan backend : backends(ServiceKind.PLAIN)) {
			standins().control(backend.standinName(), "{\"delay_ms\":" + delayMillis + "}");
		}
	}

	@Override
	public void close() {
		try {
			this.deployment.close();
		}
		finally {
			this.system.terminate();
		}
	}

	void awaitServing() throws Exception {
		for (ManagedProcess entry : this.deployment.entries()) {
			if (!backends(ServiceKind.MODEL).isEmpty()) {
				Await.until(entry.name() + " serves chat",
						() -> await(chat(entry.name(), TestConfiguration.TOP_CLASS, "len=1 ready " + System.nanoTime()))
							.complete());
			}
			if (!backends(ServiceKind.PLAIN).isEmpty()) {
				Await.until(entry.name() + " serves orders",
						() -> await(order(entry.name(), "ready-" + System.nanoTime(), "")).complete());
			}
		}
	}

	private static String operatorUrl(ManagedProcess process, String path) {
		return "http://" + process.address("http") + "/operator/" + path;
	}

}
