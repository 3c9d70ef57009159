package org.marjoramgw.process;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.marjoramgw.ResultCode;
import org.marjoramgw.rig.CallResult;
import org.marjoramgw.rig.DeploymentPlan;
import org.marjoramgw.rig.LinkKind;
import org.marjoramgw.rig.ManagedProcess;
import org.marjoramgw.rig.StandinProcess;
import org.marjoramgw.testkit.TestSeed;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Proves that a call which may not be repeated runs at most once.
 *
 * @author The marjoramgw authors
 */
public class AtMostOnceTests extends ProofTests {

	private static final String PASS = "{\"mode\":\"pass\",\"delay_ms\":0}";

	private static final int REPEAT_COUNT = 4;

	private int nextOrder;

	@Override
	protected DeploymentPlan plan() {
		return ProofPlan.of(3, 0, 2);
	}

	@AfterMethod
	public void heal() throws Exception {
		bed().standins().control(StandinProcess.LOG, "{\"outage\":false,\"lose_answers\":0,\"delay_ms\":0}");
		for (ManagedProcess side : deployment().sides()) {
			bed().link(LinkKind.ENTRY_SIDE, side.name(), PASS);
			bed().link(LinkKind.PROCESS_TO_LOG, side.name(), PASS);
			bed().standins().control("plain." + side.name(), "{\"delay_ms\":5,\"break_after_run\":false}");
			if (!side.isAlive()) {
				side.restart();
			}
		}
		bed().awaitServing();
	}

	@Test
	public void killBetweenClaimAndRun() throws Exception {
		String order = newOrder();
		CompletableFuture<CallResult> first = claimAtTheFirstSide(order);
		killTheFirstSideAndRepeat(order, first);
	}

	@Test
	public void killBetweenRunAndResult() throws Exception {
		bed().link(LinkKind.ENTRY_SIDE, "orders-2", "{\"mode\":\"refuse\"}");
		bed().standins().control("plain.orders-1", "{\"delay_ms\":2000}");
		String order = newOrder();
		CompletableFuture<CallResult> first = bed().order("entry-1", order, order);
		Await.until("the order runs", () -> bed().runsOfOrder(order) == 1);
		killTheFirstSideAndRepeat(order, first);
		Assert.assertEquals(bed().runsOfOrder(order), 1, order);
	}

	@DataProvider
	public Object[][] frozenHolders() {
		return new Object[][] { { "between claim and run", true }, { "between run and result", false } };
	}

	@Test(dataProvider = "frozenHolders")
	public void frozenSideWakesAfterTheRepeat(String when, boolean beforeRun) throws Exception {
		String order = newOrder();
		CompletableFuture<CallResult> first;
		if (beforeRun) {
			first = claimAtTheFirstSide(order);
		}
		else {
			bed().link(LinkKind.ENTRY_SIDE, "orders-2", "{\"mode\":\"refuse\"}");
			bed().standins().control("plain.orders-1", "{\"delay_ms\":500}");
			first = bed().order("entry-1", order, order);
			Await.until("the order runs", () -> bed().runsOfOrder(order) == 1);
		}
		deployment().side("orders-1").freeze();
		openTheSecondSide();
		List<CallResult> answers = repeat(order);
		deployment().side("orders-1").thaw();
		answers.add(0, ProofBed.await(first));
		answers.addAll(repeat(order));
		assertAtMostOnce(order, answers);
	}

	@Test
	public void logAnswersLostAfterEffect() throws Exception {
		for (int lost = 1; lost <= 3; lost++) {
			String order = newOrder();
			bed().standins().control(StandinProcess.LOG, "{\"lose_answers\":" + lost + "}");
			List<CallResult> answers = new ArrayList<>();
			answers.add(ProofBed.await(bed().order("entry-1", order, order)));
			answers.addAll(repeat(order));
			assertAtMostOnce(order, answers);
		}
	}

	@Test
	public void logDownForLong() throws Exception {
		bed().standins().control(StandinProcess.LOG, "{\"outage\":true}");
		String order = newOrder();
		CallResult refused = ProofBed.await(bed().order("entry-1", order, order));
		Assert.assertEquals(refused.outcome(), "not_run", refused.toString());
		Assert.assertEquals(bed().runsOfOrder(order), 0);
		String unkeyed = newOrder();
		Assert.assertTrue(ProofBed.await(bed().order("entry-2", unkeyed, "")).complete());
		Thread.sleep(3_000);
		Assert.assertEquals(bed().runsOfOrder(order), 0, "the refused call ran later");
		bed().standins().control(StandinProcess.LOG, "{\"outage\":false}");
		List<CallResult> answers = new ArrayList<>();
		Await.until("the key is served again", () -> {
			answers.add(ProofBed.await(bed().order("entry-3", order, order)));
			return answers.get(answers.size() - 1).complete();
		});
		answers.addAll(repeat(order));
		assertAtMostOnce(order, answers);
		Assert.assertEquals(bed().runsOfOrder(order), 1);
	}

	@Test
	public void sameKeyAtThreeEntriesAtOnce() throws Exception {
		for (int round = 0; round < 15; round++) {
			String order = newOrder();
			List<CompletableFuture<CallResult>> calls = new ArrayList<>();
			for (ManagedProcess entry : deployment().entries()) {
				calls.add(bed().order(entry.name(), order, order));
				calls.add(bed().order(entry.name(), order, order));
			}
			List<CallResult> answers = new ArrayList<>();
			for (CompletableFuture<CallResult> call : calls) {
				answers.add(ProofBed.await(call));
			}
			answers.addAll(repeat(order));
			assertAtMostOnce(order, answers);
			Assert.assertEquals(bed().runsOfOrder(order), 1, answers.toString());
		}
	}

	@Test
	public void keyWithAnotherBodyIsRefusedByNumber() throws Exception {
		String order = newOrder();
		Assert.assertTrue(ProofBed.await(bed().order("entry-1", order, order)).complete());
		String other = newOrder();
		CallResult refused = ProofBed.await(bed().order("entry-2", other, order));
		Assert.assertEquals(refused.errorCode(), ResultCode.KEY_REUSED.number(), refused.toString());
		Assert.assertEquals(refused.status(), ResultCode.KEY_REUSED.httpStatus());
		Assert.assertEquals(bed().runsOfOrder(other), 0);
	}

	@Test
	public void keyIsRememberedAfterRestartOfEveryProcess() throws Exception {
		String order = newOrder();
		CallResult first = ProofBed.await(bed().order("entry-1", order, order));
		Assert.assertTrue(first.complete(), first.toString());
		bed().processes().forEach(ManagedProcess::kill);
		for (ManagedProcess process : bed().processes()) {
			process.launch();
		}
		for (ManagedProcess process : bed().processes()) {
			process.awaitReady();
		}
		bed().awaitServing();
		CallResult again = ProofBed.await(bed().order("entry-2", order, order));
		Assert.assertTrue(again.complete(), again.toString());
		Assert.assertEquals(again.text(), first.text());
		Assert.assertEquals(bed().runsOfOrder(order), 1);
	}

	private CompletableFuture<CallResult> claimAtTheFirstSide(String order) throws Exception {
		bed().link(LinkKind.ENTRY_SIDE, "orders-2", "{\"mode\":\"refuse\"}");
		bed().link(LinkKind.PROCESS_TO_LOG, "orders-1", "{\"delay_ms\":700}");
		long before = bed().claimAppends();
		CompletableFuture<CallResult> call = bed().order("entry-1", order, order);
		Await.until("the claim is in the log", () -> bed().claimAppends() > before);
		return call;
	}

	private void killTheFirstSideAndRepeat(String order, CompletableFuture<CallResult> first) throws Exception {
		deployment().side("orders-1").kill();
		openTheSecondSide();
		List<CallResult> answers = repeat(order);
		answers.add(0, ProofBed.await(first));
		assertAtMostOnce(order, answers);
		deployment().side("orders-1").restart();
		answers.addAll(repeat(order));
		assertAtMostOnce(order, answers);
	}

	private void openTheSecondSide() throws Exception {
		bed().link(LinkKind.ENTRY_SIDE, "orders-2", PASS);
	}

	private List<CallResult> repeat(String order) throws Exception {
		List<CallResult> answers = new ArrayList<>();
		for (int count = 0; count < REPEAT_COUNT; count++) {
			String entry = "entry-" + (2 + count % 2);
			answers.add(ProofBed.await(bed().order(entry, order, order)));
			Thread.sleep(300);
		}
		return answers;
	}

	private void assertAtMostOnce(String order, List<CallResult> answers) throws Exception {
		int runs = bed().runsOfOrder(order);
		String told = order + " ran " + runs + " times, seed " + TestSeed.value() + ": " + answers;
		Assert.assertTrue(runs <= 1, told);
		List<String> bodies = answers.stream().filter(CallResult::complete).map(CallResult::text).distinct().toList();
		Assert.assertTrue(bodies.size() <= 1, told);
		Assert.assertTrue(bodies.isEmpty() || runs == 1, told);
	}

	private String newOrder() {
		this.nextOrder++;
		return "order-" + TestSeed.value() + "-" + this.nextOrder;
	}

}
