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
 * Proves that an accepted configuration is in force everywhere within 4 s, that one of
 * several racing operators wins, and that no process ever goes back.
 *
 * @author The marjoramgw authors
 */
public class ConfigurationPromiseTests {

	private static final long IN_FORCE_MILLIS = 4_000;

	private static final int CALL_COUNT = 3;

	private static final String REFUSE = "{\"mode\":\"refuse\"}";

	/** Delay each way on a log link; a read still ends within its limit of 2 s. */
	private static final long LATE_MILLIS = 600;

	private static final int LATE_REVISIONS = 10;

	private static final String LATE = "{\"delay_ms\":" + LATE_MILLIS + "}";

	private static final String ON_TIME = "{\"delay_ms\":0}";

	private static final String PASS = "{\"mode\":\"pass\"}";

	private ProofBed bed;

	private RevisionWatch watch;

	@BeforeClass
	public void start() throws Exception {
		this.bed = ProofBed.start(ProofPlan.of(3, 3, 0));
		this.watch = new RevisionWatch(this.bed);
	}

	@AfterClass(alwaysRun = true)
	public void stop() throws Exception {
		if (this.watch != null) {
			this.watch.close();
		}
		if (this.bed != null) {
			this.bed.close();
		}
	}

	@AfterMethod
	public void nothingWentBack() throws Exception {
		this.bed.standins().control(StandinProcess.LOG, "{\"outage\":false,\"lose_answers\":0,\"delay_ms\":0}");
		Assert.assertEquals(this.watch.reverts(), List.of(), this.watch.reverts().toString());
	}

	@Test
	public void oneOfTwoRacingOperatorsWins() throws Exception {
		for (int round = 0; round < 3; round++) {
			long base = inForce();
			try (OperatorCommand ana = publish(base, "ana"); OperatorCommand ivo = publish(base, "ivo")) {
				boolean anaWon = ana.exitCode() == 0;
				boolean ivoWon = ivo.exitCode() == 0;
				Assert.assertTrue(anaWon ^ ivoWon, ana.output() + ivo.output());
				String told = anaWon ? ivo.output() : ana.output();
				Assert.assertTrue(told.contains(Integer.toString(ResultCode.PUBLISH_CONFLICT.number())), told);
				Assert.assertTrue(told.contains("revision " + (base + 1)), told);
				Assert.assertTrue(told.contains(anaWon ? "ana" : "ivo"), told);
			}
			awaitEverywhere(base + 1);
		}
	}

	@Test
	public void lostAnswersPublishOnce() throws Exception {
		for (int lost = 1; lost <= 2; lost++) {
			long base = inForce();
			this.bed.standins().control(StandinProcess.LOG, "{\"lose_answers\":" + lost + "}");
			publishAccepted(base);
			awaitEverywhere(base + 1);
			Assert.assertEquals(inForce(), base + 1);
		}
	}

	@Test
	public void logDownPublishesNothing() throws Exception {
		long base = inForce();
		this.bed.standins().control(StandinProcess.LOG, "{\"outage\":true}");
		try (OperatorCommand publish = publish(base, "ana")) {
			Assert.assertNotEquals(publish.exitCode(), 0, publish.output());
		}
		Assert.assertEquals(inForce(), base);
		this.bed.awaitServing();
		this.bed.standins().control(StandinProcess.LOG, "{\"outage\":false}");
		publishAccepted(base);
		awaitEverywhere(base + 1);
	}

	@Test
	public void cutOffFailureDomainCatchesUp() throws Exception {
		long base = inForce();
		ManagedProcess entry = this.bed.deployment().entry("entry-3");
		ManagedProcess runner = this.bed.deployment().side("runner-3");
		cutOff("runner-3", "{\"mode\":\"swallow\"}");
		entry.freeze();
		try {
			for (int revision = 1; revision <= 3; revision++) {
				publishAccepted(base + revision - 1);
			}
			Assert.assertEquals(this.bed.revision(runner), base, "runner-3 wasn't cut off");
		}
		finally {
			entry.thaw();
			cutOff("runner-3", "{\"mode\":\"cut\"}");
			cutOff("runner-3", PASS);
		}
		awaitEverywhere(base + 3);
		this.bed.awaitServing();
	}

	@Test
	public void processThatLostTheLogLearnsFromItsPeers() throws Exception {
		long base = inForce();
		this.bed.link(LinkKind.PROCESS_TO_LOG, "runner-2", REFUSE);
		this.bed.link(LinkKind.PROCESS_TO_LOG, "entry-2", REFUSE);
		try {
			publishAccepted(base);
			awaitEverywhere(base + 1);
		}
		finally {
			this.bed.link(LinkKind.PROCESS_TO_LOG, "runner-2", PASS);
			this.bed.link(LinkKind.PROCESS_TO_LOG, "entry-2", PASS);
		}
	}

	/**
	 * The entry of the first failure domain reaches its own side process alone and no
	 * platform service, and goes on serving; the entries of the others are frozen, so
	 * that nothing crosses the boundary.
	 */
	@Test
	public void cutOffEntryServesOnAndCatchesUp() throws Exception {
		long base = inForce();
		ManagedProcess entry = this.bed.deployment().entry("entry-1");
		List<ManagedProcess> others = this.bed.deployment().entries().stream().filter((one) -> one != entry).toList();
		Map<String, CompletableFuture<CallResult>> calls = new LinkedHashMap<>();
		startCalls(calls);
		isolateFirstDomain("{\"mode\":\"swallow\"}");
		for (ManagedProcess other : others) {
			other.freeze();
		}
		try {
			startCalls(calls);
			publishAccepted(base);
			publishAccepted(base + 1);
			Await.until("runner-3 has the configuration",
					() -> this.bed.revision(this.bed.deployment().side("runner-3")) == base + 2);
			startCalls(calls);
			for (Map.Entry<String, CompletableFuture<CallResult>> call : calls.entrySet()) {
				CallResult answer = ProofBed.await(call.getValue());
				Assert.assertTrue(answer.complete(), answer.toString());
				Assert.assertEquals(answer.text(), ProofBed.expectedAnswer(call.getKey()));
			}
			Assert.assertEquals(this.bed.revision(entry), base, "entry-1 wasn't cut off");
		}
		finally {
			for (ManagedProcess other : others) {
				other.thaw();
			}
			isolateFirstDomain("{\"mode\":\"cut\"}");
			isolateFirstDomain(PASS);
		}
		awaitEverywhere(base + 2);
		this.bed.awaitServing();
	}

	/**
	 * Each answer of the log comes late by more than a publish takes, so that peers bring
	 * a revision before the log shows the one before it.
	 */
	@Test
	public void lateAnswersOfTheLogTakeNoProcessBack() throws Exception {
		long base = inForce();
		for (String process : List.of("runner-2", "entry-2")) {
			this.bed.link(LinkKind.PROCESS_TO_LOG, process, LATE);
		}
		try {
			for (int revision = 1; revision <= LATE_REVISIONS; revision++) {
				PublishResult verdict = this.bed.publish(ProofConfiguration.text("late " + revision),
						base + revision - 1);
				Assert.assertEquals(verdict, new PublishResult.Accepted(base + revision));
				awaitEverywhere(base + revision);
			}
			Thread.sleep(LATE_MILLIS * 2);
			Assert.assertEquals(inForce(), base + LATE_REVISIONS);
		}
		finally {
			this.bed.link(LinkKind.PROCESS_TO_LOG, "runner-2", ON_TIME);
			this.bed.link(LinkKind.PROCESS_TO_LOG, "entry-2", ON_TIME);
		}
	}

	@Test
	public void newProcessesStartWithTheLogDown() throws Exception {
		long base = inForce();
		this.bed.standins().control(StandinProcess.LOG, "{\"outage\":true}");
		ManagedProcess side = this.bed.deployment().side("runner-1");
		side.kill();
		side.restart();
		ManagedProcess entry = this.bed.deployment().addEntry(new EntryPlan("entry-4", "dal-a"));
		Await.until("entry-4 has the configuration", () -> this.bed.revision(entry) == base);
		Await.until("runner-1 has the configuration", () -> this.bed.revision(side) == base);
		this.bed.awaitServing();
	}

	@Test(dependsOnMethods = { "oneOfTwoRacingOperatorsWins", "lostAnswersPublishOnce", "logDownPublishesNothing",
			"cutOffFailureDomainCatchesUp", "cutOffEntryServesOnAndCatchesUp",
			"processThatLostTheLogLearnsFromItsPeers", "lateAnswersOfTheLogTakeNoProcessBack",
			"newProcessesStartWithTheLogDown" }, alwaysRun = true)
	public void revisionsOutliveTheRetentionOfTheLog() throws Exception {
		long base = inForce();
		this.bed.standins().control(StandinProcess.LOG, "{\"retention_records\":4}");
		for (int revision = 1; revision <= 3; revision++) {
			publishAccepted(base + revision - 1);
			awaitEverywhere(base + revision);
		}
		long expired = this.bed.platform(StandinProcess.LOG, "/streams/config/records?from=0&limit=1")
			.path("first_offset")
			.asLong();
		Assert.assertTrue(expired > 0, "no record has expired");
		List<ManagedProcess> all = this.bed.processes();
		all.forEach(ManagedProcess::kill);
		for (ManagedProcess process : all) {
			process.launch();
		}
		for (ManagedProcess process : all) {
			process.awaitReady();
		}
		Await.until("all have the configuration again",
				() -> revisions().stream().allMatch((seen) -> seen == base + 3));
		this.bed.awaitServing();
	}

	private void cutOff(String side, String json) throws Exception {
		for (LinkKind kind : List.of(LinkKind.ENTRY_SIDE, LinkKind.PROCESS_TO_LOG, LinkKind.PROCESS_TO_VM_LIST)) {
			this.bed.link(kind, side, json);
		}
	}

	private void isolateFirstDomain(String json) throws Exception {
		for (String side : List.of("runner-2", "runner-3")) {
			this.bed.link(LinkKind.ENTRY_SIDE, side, json);
		}
		for (String process : List.of("entry-1", "runner-1")) {
			this.bed.link(LinkKind.PROCESS_TO_LOG, process, json);
			this.bed.link(LinkKind.PROCESS_TO_VM_LIST, process, json);
		}
	}

	private void startCalls(Map<String, CompletableFuture<CallResult>> calls) {
		for (int count = 0; count < CALL_COUNT; count++) {
			String prompt = "len=100 cut off " + TestSeed.value() + " " + System.nanoTime();
			calls.put(prompt, this.bed.chat("entry-1", ProofConfiguration.TOP, prompt));
		}
	}

	private OperatorCommand publish(long base, String operator) throws Exception {
		return OperatorCommand.publish(this.bed.standins().address(StandinProcess.LOG),
				ProofConfiguration.text("by " + operator + " on " + base), base, operator);
	}

	private void publishAccepted(long base) throws Exception {
		try (OperatorCommand publish = publish(base, "ana")) {
			Assert.assertEquals(publish.exitCode(), 0, publish.output());
			Assert.assertTrue(publish.output().contains("revision " + (base + 1)), publish.output());
		}
	}

	private long inForce() throws Exception {
		Await.until("one revision is in force everywhere", () -> revisions().stream().distinct().count() == 1);
		return revisions().get(0);
	}

	private void awaitEverywhere(long revision) throws Exception {
		Await.until("revision " + revision + " is in force everywhere", IN_FORCE_MILLIS,
				() -> revisions().stream().allMatch((seen) -> seen >= revision));
	}

	private List<Long> revisions() throws Exception {
		List<Long> revisions = new ArrayList<>();
		for (ManagedProcess process : this.bed.processes()) {
			revisions.add(this.bed.revision(process));
		}
		return revisions;
	}

}
