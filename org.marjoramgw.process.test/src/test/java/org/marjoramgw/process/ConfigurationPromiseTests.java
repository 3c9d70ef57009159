package org.marjoramgw.process;

import java.util.ArrayList;
import java.util.List;

import org.marjoramgw.ResultCode;
import org.marjoramgw.rig.EntryPlan;
import org.marjoramgw.rig.LinkKind;
import org.marjoramgw.rig.ManagedProcess;
import org.marjoramgw.rig.StandinProcess;
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

	private static final String REFUSE = "{\"mode\":\"refuse\"}";

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
		Assert.assertEquals(this.watch.reverts(), List.of());
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
		this.bed.link(LinkKind.PROCESS_LOG, "runner-2", REFUSE);
		this.bed.link(LinkKind.PROCESS_LOG, "entry-2", REFUSE);
		try {
			publishAccepted(base);
			awaitEverywhere(base + 1);
		}
		finally {
			this.bed.link(LinkKind.PROCESS_LOG, "runner-2", PASS);
			this.bed.link(LinkKind.PROCESS_LOG, "entry-2", PASS);
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
			"cutOffFailureDomainCatchesUp", "processThatLostTheLogLearnsFromItsPeers",
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
		for (LinkKind kind : List.of(LinkKind.ENTRY_SIDE, LinkKind.PROCESS_LOG, LinkKind.PROCESS_VM_LIST)) {
			this.bed.link(kind, side, json);
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
