package org.marjoramgw.process;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

import org.marjoramgw.HostPort;
import org.marjoramgw.program.ExitCode;
import org.marjoramgw.rig.CallResult;
import org.marjoramgw.rig.DeploymentPlan;
import org.marjoramgw.rig.ManagedProcess;
import org.marjoramgw.rig.RigException;
import org.marjoramgw.testkit.TestSeed;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that the graceful shutdown of a process or backend server under load interrupts
 * no request in flight.
 *
 * @author The marjoramgw authors
 */
public class GracefulShutdownTests extends AbstractDeploymentTests {

	private static final int STREAM_COUNT = 8;

	private static final int ANSWER_TOKENS = 250;

	private static final int ORDER_COUNT = 6;

	/** Exit code of a Java VM terminated by SIGTERM, after its shutdown hooks. */
	private static final int SIGTERM_EXIT_CODE = 143;

	@Override
	protected DeploymentPlan plan() {
		return DeploymentPlans.of(2, 2, 2);
	}

	@AfterMethod
	public void clearFaults() throws Exception {
		for (ManagedProcess side : deployment().sides()) {
			if (side.name().startsWith("runner")) {
				fixture().standins().control("engine." + side.name(), "{\"crash_after_tokens\":0}");
			}
			else {
				fixture().standins().control("plain." + side.name(), "{\"delay_ms\":5}");
			}
		}
		for (ManagedProcess process : fixture().processes()) {
			if (!process.isAlive()) {
				process.restart();
			}
		}
		fixture().awaitServing();
	}

	/**
	 * Lists the graceful shutdowns.
	 * @return process to stop, entry that carries the calls, and how to stop the process
	 */
	@DataProvider
	public Object[][] stops() {
		return new Object[][] { { "entry-1", "entry-1", stop((name) -> deployment().entry(name).terminate()) },
				{ "entry-1", "entry-1", stop((name) -> fixture().drain(deployment().entry(name))) },
				{ "runner-1", "entry-2", stop((name) -> deployment().side(name).terminate()) },
				{ "runner-2", "entry-2", stop(this::stopBackendServer) },
				{ "orders-1", "entry-1", stop((name) -> deployment().side(name).terminate()) },
				{ "orders-2", "entry-2", stop((name) -> fixture().drain(deployment().side(name))) } };
	}

	@Test(dataProvider = "stops")
	public void callsInFlightComplete(String process, String entry, Stop stop) throws Exception {
		for (ManagedProcess side : deployment().sides()) {
			if (side.name().startsWith("orders")) {
				fixture().standins().control("plain." + side.name(), "{\"delay_ms\":1500}");
			}
		}
		Map<String, CompletableFuture<CallResult>> streams = startStreams(entry);
		Map<String, CompletableFuture<CallResult>> orders = startOrders(entry);
		ManagedProcess stopping = processOf(process);
		stop.stop(process);
		for (Map.Entry<String, CompletableFuture<CallResult>> call : streams.entrySet()) {
			CallResult answer = DeploymentFixture.await(call.getValue());
			Assert.assertTrue(answer.complete(), process + " interrupted " + answer);
			Assert.assertEquals(answer.text(), DeploymentFixture.expectedAnswer(call.getKey()));
		}
		for (Map.Entry<String, CompletableFuture<CallResult>> call : orders.entrySet()) {
			CallResult answer = DeploymentFixture.await(call.getValue());
			Assert.assertTrue(answer.complete(), process + " interrupted " + answer);
			Assert.assertEquals(fixture().runsOfOrder(call.getKey()), 1);
		}
		Assert.assertTrue(stopping.awaitExit(Await.DEFAULT_TIMEOUT_MILLIS), process + " did not exit in time");
		Assert.assertTrue(Set.of(ExitCode.OK, SIGTERM_EXIT_CODE).contains(stopping.exitCode()),
				"exit code " + stopping.exitCode());
	}

	@Test
	public void newCallsAreServedByOtherEntryDuringShutdown() throws Exception {
		Map<String, CompletableFuture<CallResult>> streams = startStreams("entry-1");
		deployment().entry("entry-1").terminate();
		Await.until("entry-1 fails its health check", () -> !isHealthy("entry-1"));
		SteadyLoad load = new SteadyLoad(fixture(), List.of("entry-2"), TestConfiguration.TOP_CLASS, 10, 100);
		for (CompletableFuture<CallResult> call : streams.values()) {
			Assert.assertTrue(DeploymentFixture.await(call).complete());
		}
		for (CallResult answer : load.finish().values()) {
			Assert.assertTrue(answer.complete(), answer.toString());
		}
		Assert.assertTrue(deployment().entry("entry-1").awaitExit(Await.DEFAULT_TIMEOUT_MILLIS),
				"entry-1 did not exit in time");
	}

	/**
	 * Lists processes with the address that they bind first.
	 * @return name of the process and of the address
	 */
	@DataProvider
	public Object[][] firstAddresses() {
		return new Object[][] { { "entry-1", "http" }, { "runner-1", "peer" } };
	}

	/** Guards against a process that accepts work before it can stop in order. */
	@Test(dataProvider = "firstAddresses")
	public void stopAsSoonAsAProcessListensIsOrderly(String name, String address) throws Exception {
		ManagedProcess process = processOf(name);
		process.terminate();
		Assert.assertTrue(process.awaitExit(Await.DEFAULT_TIMEOUT_MILLIS), name + " did not exit in time");
		process.launch();
		Await.until(name + " listens", () -> listens(process.address(address)));
		// Unlike terminate(), this keeps the output readable.
		ProcessHandle.of(process.pid()).orElseThrow().destroy();
		Assert.assertTrue(process.awaitExit(Await.DEFAULT_TIMEOUT_MILLIS), name + " did not exit in time");
		Assert.assertTrue(process.outputLines().stream().anyMatch((line) -> line.contains("stopped with 0 ")),
				process.outputLines().toString());
	}

	private static boolean listens(HostPort address) {
		try (Socket socket = new Socket(address.host(), address.port())) {
			return socket.isConnected();
		}
		catch (IOException ex) {
			return false;
		}
	}

	private boolean isHealthy(String entry) {
		try {
			fixture().standins().getText("http://" + deployment().entry(entry).address("http") + "/healthz");
			return true;
		}
		catch (RigException ex) {
			return false;
		}
	}

	private Map<String, CompletableFuture<CallResult>> startStreams(String entry) throws Exception {
		Map<String, Boolean> flowing = new ConcurrentHashMap<>();
		Map<String, CompletableFuture<CallResult>> calls = new LinkedHashMap<>();
		for (int count = 0; count < STREAM_COUNT; count++) {
			String prompt = "len=" + ANSWER_TOKENS + " planned " + TestSeed.value() + " " + System.nanoTime();
			calls.put(prompt, fixture().chat(entry, TestConfiguration.TOP_CLASS, prompt,
					(text) -> flowing.put(prompt, Boolean.TRUE)));
		}
		Await.until("every stream has tokens", () -> flowing.size() == STREAM_COUNT);
		return calls;
	}

	private Map<String, CompletableFuture<CallResult>> startOrders(String entry) throws Exception {
		Map<String, CompletableFuture<CallResult>> calls = new LinkedHashMap<>();
		List<String> orders = new ArrayList<>();
		for (int count = 0; count < ORDER_COUNT; count++) {
			String order = "planned-" + TestSeed.value() + "-" + System.nanoTime();
			orders.add(order);
			calls.put(order, fixture().order(entry, order, (count % 2 == 0) ? order : ""));
		}
		Await.until("all orders are running", () -> {
			int running = 0;
			for (String order : orders) {
				running += fixture().runsOfOrder(order);
			}
			return running == ORDER_COUNT;
		});
		return calls;
	}

	/**
	 * Stops a backend server in the operators' order: drains its side process, and stops
	 * the engine after the side process has exited.
	 */
	private void stopBackendServer(String side) throws Exception {
		fixture().drain(deployment().side(side));
		Assert.assertTrue(deployment().side(side).awaitExit(Await.DEFAULT_TIMEOUT_MILLIS),
				side + " did not exit in time");
		fixture().standins().control("engine." + side, "{\"crash_after_tokens\":1}");
	}

	private ManagedProcess processOf(String name) {
		return name.startsWith("entry") ? deployment().entry(name) : deployment().side(name);
	}

	private static Stop stop(Stop stop) {
		return stop;
	}

	@FunctionalInterface
	private interface Stop {

		void stop(String process) throws Exception;

	}

}
