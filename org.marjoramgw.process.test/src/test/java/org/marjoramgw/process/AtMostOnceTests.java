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
 * Tests that a non-repeatable call runs at most once when side processes are killed or
 * frozen, log responses are lost, and callers retry with the same idempotency key.
 *
 * @author The marjoramgw authors
 */
public class AtMostOnceTests extends AbstractDeploymentTests {

	private static final String PASS = "{\"mode\":\"pass\",\"delay_ms\":0}";

	private static final int RETRY_COUNT = 4;

	private int orderCount;

	@Override
	protected DeploymentPlan plan() {
		return DeploymentPlans.of(3, 0, 2);
	}

	@AfterMethod
	public void clearFaults() throws Exception {
		fixture().standins().control(StandinProcess.LOG, "{\"outage\":false,\"lose_answers\":0,\"delay_ms\":0}");
		for (ManagedProcess side : deployment().sides()) {
			fixture().controlLink(LinkKind.ENTRY_SIDE, side.name(), PASS);
			fixture().controlLink(LinkKind.PROCESS_TO_LOG, side.name(), PASS);
			fixture().standins().control("plain." + side.name(), "{\"delay_ms\":5,\"break_after_run\":false}");
			if (!side.isAlive()) {
				side.restart();
			}
		}
		fixture().awaitServing();
	}

	@Test
	public void killBetweenClaimAndRun() throws Exception {
		String order = newOrder();
		CompletableFuture<CallResult> first = claimAtFirstSide(order);
		killFirstSideAndRetry(order, first);
	}

	@Test
	public void killBetweenRunAndResult() throws Exception {
		fixture().controlLink(LinkKind.ENTRY_SIDE, "orders-2", "{\"mode\":\"refuse\"}");
		fixture().standins().control("plain.orders-1", "{\"delay_ms\":2000}");
		String order = newOrder();
		CompletableFuture<CallResult> first = fixture().order("entry-1", order, order);
		Await.until("the order is running", () -> fixture().runsOfOrder(order) == 1);
		killFirstSideAndRetry(order, first);
		Assert.assertEquals(fixture().runsOfOrder(order), 1, order);
	}

	@DataProvider
	public Object[][] freezePoints() {
		return new Object[][] { { "between claim and run", true }, { "between run and result", false } };
	}

	@Test(dataProvider = "freezePoints")
	public void frozenSideResumesAfterRetry(String freezePoint, boolean beforeRun) throws Exception {
		String order = newOrder();
		CompletableFuture<CallResult> first;
		if (beforeRun) {
			first = claimAtFirstSide(order);
		}
		else {
			fixture().controlLink(LinkKind.ENTRY_SIDE, "orders-2", "{\"mode\":\"refuse\"}");
			fixture().standins().control("plain.orders-1", "{\"delay_ms\":500}");
			first = fixture().order("entry-1", order, order);
			Await.until("the order is running", () -> fixture().runsOfOrder(order) == 1);
		}
		deployment().side("orders-1").freeze();
		restoreSecondSide();
		List<CallResult> answers = retry(order);
		deployment().side("orders-1").thaw();
		answers.add(0, DeploymentFixture.await(first));
		answers.addAll(retry(order));
		assertAtMostOnce(order, answers);
	}

	@Test
	public void logAppendResponsesLost() throws Exception {
		for (int lostCount = 1; lostCount <= 3; lostCount++) {
			String order = newOrder();
			fixture().standins().control(StandinProcess.LOG, "{\"lose_answers\":" + lostCount + "}");
			List<CallResult> answers = new ArrayList<>();
			answers.add(DeploymentFixture.await(fixture().order("entry-1", order, order)));
			answers.addAll(retry(order));
			assertAtMostOnce(order, answers);
		}
	}

	@Test
	public void logOutage() throws Exception {
		fixture().standins().control(StandinProcess.LOG, "{\"outage\":true}");
		String order = newOrder();
		CallResult refused = DeploymentFixture.await(fixture().order("entry-1", order, order));
		Assert.assertEquals(refused.outcome(), "not_run", refused.toString());
		Assert.assertEquals(fixture().runsOfOrder(order), 0);
		String unkeyed = newOrder();
		Assert.assertTrue(DeploymentFixture.await(fixture().order("entry-2", unkeyed, "")).complete());
		Thread.sleep(3_000);
		Assert.assertEquals(fixture().runsOfOrder(order), 0, "the refused call ran after the refusal");
		fixture().standins().control(StandinProcess.LOG, "{\"outage\":false}");
		List<CallResult> answers = new ArrayList<>();
		Await.until("an order with the key succeeds", () -> {
			answers.add(DeploymentFixture.await(fixture().order("entry-3", order, order)));
			return answers.get(answers.size() - 1).complete();
		});
		answers.addAll(retry(order));
		assertAtMostOnce(order, answers);
		Assert.assertEquals(fixture().runsOfOrder(order), 1);
	}

	@Test
	public void sameKeyAtThreeEntriesConcurrently() throws Exception {
		for (int round = 0; round < 15; round++) {
			String order = newOrder();
			List<CompletableFuture<CallResult>> calls = new ArrayList<>();
			for (ManagedProcess entry : deployment().entries()) {
				calls.add(fixture().order(entry.name(), order, order));
				calls.add(fixture().order(entry.name(), order, order));
			}
			List<CallResult> answers = new ArrayList<>();
			for (CompletableFuture<CallResult> call : calls) {
				answers.add(DeploymentFixture.await(call));
			}
			answers.addAll(retry(order));
			assertAtMostOnce(order, answers);
			Assert.assertEquals(fixture().runsOfOrder(order), 1, answers.toString());
		}
	}

	@Test
	public void keyReusedWithDifferentBodyIsRefused() throws Exception {
		String order = newOrder();
		Assert.assertTrue(DeploymentFixture.await(fixture().order("entry-1", order, order)).complete());
		String other = newOrder();
		CallResult refused = DeploymentFixture.await(fixture().order("entry-2", other, order));
		Assert.assertEquals(refused.errorCode(), ResultCode.KEY_REUSED.number(), refused.toString());
		Assert.assertEquals(refused.status(), ResultCode.KEY_REUSED.httpStatus());
		Assert.assertEquals(fixture().runsOfOrder(other), 0);
	}

	/**
	 * Guards against recorded results that are lost with the processes. The result is
	 * appended to the log after the answer, so the test waits until the log has it.
	 */
	@Test
	public void keyRecordSurvivesRestartOfEveryProcess() throws Exception {
		String order = newOrder();
		CallResult first = DeploymentFixture.await(fixture().order("entry-1", order, order));
		Assert.assertTrue(first.complete(), first.toString());
		Await.until("the result is recorded", () -> fixture().isResultRecorded(first.text()));
		restartEveryProcess();
		CallResult again = DeploymentFixture.await(fixture().order("entry-2", order, order));
		Assert.assertTrue(again.complete(), again.toString());
		Assert.assertEquals(again.text(), first.text());
		Assert.assertEquals(fixture().runsOfOrder(order), 1);
	}

	/**
	 * Guards against a second run of an order whose caller has its answer while the
	 * result was lost with the side process, and against an answer delayed by the log.
	 */
	@Test
	public void orderWhoseResultWasLostHasAnUnknownOutcome() throws Exception {
		fixture().setPlainDelay(2_000);
		String order = newOrder();
		CompletableFuture<CallResult> call = fixture().order("entry-1", order, order);
		Await.until("the order is running", () -> fixture().runsOfOrder(order) == 1);
		fixture().setPlainDelay(5);
		fixture().standins().control(StandinProcess.LOG, "{\"outage\":true}");
		CallResult first = DeploymentFixture.await(call);
		Assert.assertTrue(first.complete(), first.toString());
		fixture().processes().forEach(ManagedProcess::kill);
		fixture().standins().control(StandinProcess.LOG, "{\"outage\":false}");
		restartEveryProcess();
		Assert.assertFalse(fixture().isResultRecorded(first.text()), "the result is recorded despite the outage");
		for (CallResult again : retry(order)) {
			Assert.assertEquals(again.errorCode(), ResultCode.KEY_OUTCOME_UNKNOWN.number(), again.toString());
			Assert.assertEquals(again.status(), ResultCode.KEY_OUTCOME_UNKNOWN.httpStatus());
		}
		Assert.assertEquals(fixture().runsOfOrder(order), 1);
	}

	private void restartEveryProcess() throws Exception {
		fixture().processes().forEach(ManagedProcess::kill);
		for (ManagedProcess process : fixture().processes()) {
			process.launch();
		}
		for (ManagedProcess process : fixture().processes()) {
			process.awaitReady();
		}
		fixture().awaitServing();
	}

	private CompletableFuture<CallResult> claimAtFirstSide(String order) throws Exception {
		fixture().controlLink(LinkKind.ENTRY_SIDE, "orders-2", "{\"mode\":\"refuse\"}");
		fixture().controlLink(LinkKind.PROCESS_TO_LOG, "orders-1", "{\"delay_ms\":700}");
		long before = fixture().claimAppendCount();
		CompletableFuture<CallResult> call = fixture().order("entry-1", order, order);
		Await.until("the claim is appended to the log", () -> fixture().claimAppendCount() > before);
		return call;
	}

	private void killFirstSideAndRetry(String order, CompletableFuture<CallResult> first) throws Exception {
		deployment().side("orders-1").kill();
		restoreSecondSide();
		List<CallResult> answers = retry(order);
		answers.add(0, DeploymentFixture.await(first));
		assertAtMostOnce(order, answers);
		deployment().side("orders-1").restart();
		answers.addAll(retry(order));
		assertAtMostOnce(order, answers);
	}

	private void restoreSecondSide() throws Exception {
		fixture().controlLink(LinkKind.ENTRY_SIDE, "orders-2", PASS);
	}

	private List<CallResult> retry(String order) throws Exception {
		List<CallResult> answers = new ArrayList<>();
		for (int count = 0; count < RETRY_COUNT; count++) {
			String entry = "entry-" + (2 + count % 2);
			answers.add(DeploymentFixture.await(fixture().order(entry, order, order)));
			Thread.sleep(300);
		}
		return answers;
	}

	private void assertAtMostOnce(String order, List<CallResult> answers) throws Exception {
		int runs = fixture().runsOfOrder(order);
		String details = order + " ran " + runs + " times, seed " + TestSeed.value() + ": " + answers;
		Assert.assertTrue(runs <= 1, details);
		List<String> bodies = answers.stream().filter(CallResult::complete).map(CallResult::text).distinct().toList();
		Assert.assertTrue(bodies.size() <= 1, details);
		Assert.assertTrue(bodies.isEmpty() || runs == 1, details);
	}

	private String newOrder() {
		this.orderCount++;
		return "order-" + TestSeed.value() + "-" + this.orderCount;
	}

}
