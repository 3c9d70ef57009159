package org.marjoramgw.process;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.marjoramgw.ResultCode;
import org.marjoramgw.config.PublishResult;
import org.marjoramgw.rig.CallResult;
import org.marjoramgw.rig.EntryPlan;
import org.marjoramgw.rig.LinkKind;
import org.marjoramgw.rig.ManagedProcess;
import org.marjoramgw.rig.StandinProcess;
import org.marjoramgw.testkit.TestSeed;
import org.testng.Assert;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * Tests that an accepted configuration is in force at every process within 4 s, that only
 * one of several concurrent publishes succeeds, and that no process returns to an older
 * revision.
 *
 * @author The marjoramgw authors
 */
public class ConfigurationConsistencyTests {

	private static final long PROPAGATION_LIMIT_MILLIS = 4_000;

	private static final int CALL_COUNT = 3;

	private static final String REFUSE = "{\"mode\":\"refuse\"}";

	/** Delay in each direction of a log link; a read still meets its timeout of 2 s. */
	private static final long LOG_DELAY_MILLIS = 600;

	private static final int DELAYED_REVISION_COUNT = 10;

	private static final String DELAY = "{\"delay_ms\":" + LOG_DELAY_MILLIS + "}";

	private static final String NO_DELAY = "{\"delay_ms\":0}";

	private static final String PASS = "{\"mode\":\"pass\"}";

	private DeploymentFixture fixture;

	private RevisionMonitor monitor;

	@BeforeClass
	public void start() throws Exception {
		this.fixture = DeploymentFixture.start(DeploymentPlans.of(3, 3, 0));
		this.monitor = new RevisionMonitor(this.fixture);
	}

	@AfterClass(alwaysRun = true)
	public void stop() throws Exception {
		if (this.monitor != null) {
			this.monitor.close();
		}
		if (this.fixture != null) {
			this.fixture.close();
		}
	}

	@AfterMethod
	public void assertNoRegressions() throws Exception {
		this.fixture.standins().control(StandinProcess.LOG, "{\"outage\":false,\"lose_answers\":0,\"delay_ms\":0}");
		Assert.assertEquals(this.monitor.regressions(), List.of(), this.monitor.regressions().toString());
	}

	@Test
	public void onlyOneOfConcurrentPublishesWins() throws Exception {
		for (int round = 0; round < 3; round++) {
			long base = awaitCommonRevision();
			try (OperatorCommand ana = publish(base, "ana"); OperatorCommand ivo = publish(base, "ivo")) {
				boolean anaWon = ana.exitCode() == 0;
				boolean ivoWon = ivo.exitCode() == 0;
				Assert.assertTrue(anaWon ^ ivoWon, ana.output() + ivo.output());
				String loserOutput = anaWon ? ivo.output() : ana.output();
				Assert.assertTrue(loserOutput.contains(Integer.toString(ResultCode.PUBLISH_CONFLICT.number())),
						loserOutput);
				Assert.assertTrue(loserOutput.contains("revision " + (base + 1)), loserOutput);
				Assert.assertTrue(loserOutput.contains(anaWon ? "ana" : "ivo"), loserOutput);
			}
			awaitRevisionEverywhere(base + 1);
		}
	}

	@Test
	public void lostLogResponsesPublishOnce() throws Exception {
		for (int lost = 1; lost <= 2; lost++) {
			long base = awaitCommonRevision();
			this.fixture.standins().control(StandinProcess.LOG, "{\"lose_answers\":" + lost + "}");
			publishAccepted(base);
			awaitRevisionEverywhere(base + 1);
			Assert.assertEquals(awaitCommonRevision(), base + 1);
		}
	}

	@Test
	public void logDownPublishesNothing() throws Exception {
		long base = awaitCommonRevision();
		this.fixture.standins().control(StandinProcess.LOG, "{\"outage\":true}");
		try (OperatorCommand publish = publish(base, "ana")) {
			Assert.assertNotEquals(publish.exitCode(), 0, publish.output());
		}
		Assert.assertEquals(awaitCommonRevision(), base);
		this.fixture.awaitServing();
		this.fixture.standins().control(StandinProcess.LOG, "{\"outage\":false}");
		publishAccepted(base);
		awaitRevisionEverywhere(base + 1);
	}

	@Test
	public void isolatedFailureDomainCatchesUp() throws Exception {
		long base = awaitCommonRevision();
		ManagedProcess entry = this.fixture.deployment().entry("entry-3");
		ManagedProcess runner = this.fixture.deployment().side("runner-3");
		controlLinks("runner-3", "{\"mode\":\"swallow\"}");
		entry.freeze();
		try {
			for (int revision = 1; revision <= 3; revision++) {
				publishAccepted(base + revision - 1);
			}
			Assert.assertEquals(this.fixture.revision(runner), base, "runner-3 was not isolated");
		}
		finally {
			entry.thaw();
			controlLinks("runner-3", "{\"mode\":\"cut\"}");
			controlLinks("runner-3", PASS);
		}
		awaitRevisionEverywhere(base + 3);
		this.fixture.awaitServing();
	}

	@Test
	public void processWithoutLogReceivesRevisionFromPeers() throws Exception {
		long base = awaitCommonRevision();
		this.fixture.controlLink(LinkKind.PROCESS_TO_LOG, "runner-2", REFUSE);
		this.fixture.controlLink(LinkKind.PROCESS_TO_LOG, "entry-2", REFUSE);
		try {
			publishAccepted(base);
			awaitRevisionEverywhere(base + 1);
		}
		finally {
			this.fixture.controlLink(LinkKind.PROCESS_TO_LOG, "runner-2", PASS);
			this.fixture.controlLink(LinkKind.PROCESS_TO_LOG, "entry-2", PASS);
		}
	}

	/**
	 * Isolates the first failure domain: its entry reaches only the side process of its
	 * own domain and no platform service, and must keep serving. The entries of the other
	 * domains are frozen, so that no message crosses the boundary.
	 */
	@Test
	public void isolatedEntryKeepsServingAndCatchesUp() throws Exception {
		long base = awaitCommonRevision();
		ManagedProcess entry = this.fixture.deployment().entry("entry-1");
		List<ManagedProcess> others = this.fixture.deployment()
			.entries()
			.stream()
			.filter((candidate) -> candidate != entry)
			.toList();
		Map<String, CompletableFuture<CallResult>> calls = new LinkedHashMap<>();
		startCalls(calls);
		controlFirstDomainLinks("{\"mode\":\"swallow\"}");
		for (ManagedProcess other : others) {
			other.freeze();
		}
		try {
			startCalls(calls);
			publishAccepted(base);
			publishAccepted(base + 1);
			Await.until("runner-3 has the configuration",
					() -> this.fixture.revision(this.fixture.deployment().side("runner-3")) == base + 2);
			startCalls(calls);
			for (Map.Entry<String, CompletableFuture<CallResult>> call : calls.entrySet()) {
				CallResult answer = DeploymentFixture.await(call.getValue());
				Assert.assertTrue(answer.complete(), answer.toString());
				Assert.assertEquals(answer.text(), DeploymentFixture.expectedAnswer(call.getKey()));
			}
			Assert.assertEquals(this.fixture.revision(entry), base, "entry-1 was not isolated");
		}
		finally {
			for (ManagedProcess other : others) {
				other.thaw();
			}
			controlFirstDomainLinks("{\"mode\":\"cut\"}");
			controlFirstDomainLinks(PASS);
		}
		awaitRevisionEverywhere(base + 2);
		this.fixture.awaitServing();
	}

	/**
	 * Delays each response of the log by more than the duration of a publish, so that a
	 * process receives a revision from its peers before it reads the previous one from
	 * the log.
	 */
	@Test
	public void lateLogResponsesCauseNoRegression() throws Exception {
		long base = awaitCommonRevision();
		for (String process : List.of("runner-2", "entry-2")) {
			this.fixture.controlLink(LinkKind.PROCESS_TO_LOG, process, DELAY);
		}
		try {
			for (int revision = 1; revision <= DELAYED_REVISION_COUNT; revision++) {
				PublishResult result = this.fixture.publish(TestConfiguration.text("late " + revision),
						base + revision - 1);
				Assert.assertEquals(result, new PublishResult.Accepted(base + revision));
				awaitRevisionEverywhere(base + revision);
			}
			Thread.sleep(LOG_DELAY_MILLIS * 2);
			Assert.assertEquals(awaitCommonRevision(), base + DELAYED_REVISION_COUNT);
		}
		finally {
			this.fixture.controlLink(LinkKind.PROCESS_TO_LOG, "runner-2", NO_DELAY);
			this.fixture.controlLink(LinkKind.PROCESS_TO_LOG, "entry-2", NO_DELAY);
		}
	}

	@Test
	public void newProcessesStartDuringLogOutage() throws Exception {
		long base = awaitCommonRevision();
		this.fixture.standins().control(StandinProcess.LOG, "{\"outage\":true}");
		ManagedProcess side = this.fixture.deployment().side("runner-1");
		side.kill();
		side.restart();
		ManagedProcess entry = this.fixture.deployment().addEntry(new EntryPlan("entry-4", "dal-a"));
		Await.until("entry-4 has the configuration", () -> this.fixture.revision(entry) == base);
		Await.until("runner-1 has the configuration", () -> this.fixture.revision(side) == base);
		this.fixture.awaitServing();
	}

	@Test(dependsOnMethods = { "onlyOneOfConcurrentPublishesWins", "lostLogResponsesPublishOnce",
			"logDownPublishesNothing", "isolatedFailureDomainCatchesUp", "isolatedEntryKeepsServingAndCatchesUp",
			"processWithoutLogReceivesRevisionFromPeers", "lateLogResponsesCauseNoRegression",
			"newProcessesStartDuringLogOutage" }, alwaysRun = true)
	public void revisionsOutliveLogRetention() throws Exception {
		long base = awaitCommonRevision();
		this.fixture.standins().control(StandinProcess.LOG, "{\"retention_records\":4}");
		for (int revision = 1; revision <= 3; revision++) {
			publishAccepted(base + revision - 1);
			awaitRevisionEverywhere(base + revision);
		}
		long expired = this.fixture.platformJson(StandinProcess.LOG, "/streams/config/records?from=0&limit=1")
			.path("first_offset")
			.asLong();
		Assert.assertTrue(expired > 0, "no record has expired");
		List<ManagedProcess> all = this.fixture.processes();
		all.forEach(ManagedProcess::kill);
		for (ManagedProcess process : all) {
			process.launch();
		}
		for (ManagedProcess process : all) {
			process.awaitReady();
		}
		Await.until("all have the configuration again",
				() -> revisions().stream().allMatch((seen) -> seen == base + 3));
		this.fixture.awaitServing();
	}

	private void controlLinks(String side, String json) throws Exception {
		for (LinkKind kind : List.of(LinkKind.ENTRY_SIDE, LinkKind.PROCESS_TO_LOG, LinkKind.PROCESS_TO_VM_LIST)) {
			this.fixture.controlLink(kind, side, json);
		}
	}

	private void controlFirstDomainLinks(String json) throws Exception {
		for (String side : List.of("runner-2", "runner-3")) {
			this.fixture.controlLink(LinkKind.ENTRY_SIDE, side, json);
		}
		for (String process : List.of("entry-1", "runner-1")) {
			this.fixture.controlLink(LinkKind.PROCESS_TO_LOG, process, json);
			this.fixture.controlLink(LinkKind.PROCESS_TO_VM_LIST, process, json);
		}
	}

	private void startCalls(Map<String, CompletableFuture<CallResult>> calls) {
		for (int count = 0; count < CALL_COUNT; count++) {
			String prompt = "len=100 cut off " + TestSeed.value() + " " + System.nanoTime();
			calls.put(prompt, this.fixture.chat("entry-1", TestConfiguration.TOP_CLASS, prompt));
		}
	}

	private OperatorCommand publish(long base, String operator) throws Exception {
		return OperatorCommand.publish(this.fixture.standins().address(StandinProcess.LOG),
				TestConfiguration.text("by " + operator + " on " + base), base, operator);
	}

	private void publishAccepted(long base) throws Exception {
		try (OperatorCommand publish = publish(base, "ana")) {
			Assert.assertEquals(publish.exitCode(), 0, publish.output());
			Assert.assertTrue(publish.output().contains("revision " + (base + 1)), publish.output());
		}
	}

	private long awaitCommonRevision() throws Exception {
		Await.until("one revision is in force everywhere", () -> revisions().stream().distinct().count() == 1);
		return revisions().get(0);
	}

	private void awaitRevisionEverywhere(long revision) throws Exception {
		Await.until("revision " + revision + " is in force everywhere", PROPAGATION_LIMIT_MILLIS,
				() -> revisions().stream().allMatch((seen) -> seen >= revision));
	}

	private List<Long> revisions() throws Exception {
		List<Long> revisions = new ArrayList<>();
		for (ManagedProcess process : this.fixture.processes()) {
			revisions.add(this.fixture.revision(process));
		}
		return revisions;
	}

}
