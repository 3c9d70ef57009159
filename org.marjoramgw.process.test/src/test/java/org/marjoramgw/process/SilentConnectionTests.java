package org.marjoramgw.process;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.marjoramgw.config.ServiceKind;
import org.marjoramgw.rig.BackendPlan;
import org.marjoramgw.rig.CallResult;
import org.marjoramgw.rig.DeploymentPlan;
import org.marjoramgw.rig.LinkKind;
import org.marjoramgw.rig.ManagedProcess;
import org.marjoramgw.testkit.TestSeed;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that answers complete when open connections silently drop all data while new
 * connections work, and that no call waits for a TCP timeout.
 *
 * @author The marjoramgw authors
 */
public class SilentConnectionTests extends AbstractDeploymentTests {

	private static final String SWALLOW_EXISTING = "{\"swallow_existing\":true}";

	/** Completion target of the chat class, in milliseconds. */
	private static final long TARGET_MILLIS = 30_000;

	/** Completion target of the orders, in milliseconds. */
	private static final long ORDER_TARGET_MILLIS = 10_000;

	private static final int STREAM_COUNT = 6;

	@Override
	protected DeploymentPlan plan() {
		return DeploymentPlans.of(2, 2, 2);
	}

	@DataProvider
	public Object[][] silentPeerLinks() {
		return new Object[][] { { "entry and side process", LinkKind.ENTRY_SIDE, 1 },
				{ "entry and side process, twice", LinkKind.ENTRY_SIDE, 2 } };
	}

	@Test(dataProvider = "silentPeerLinks")
	public void answersCompleteWithinTarget(String linkName, LinkKind kind, int repetitions) throws Exception {
		StreamProgress progress = new StreamProgress();
		Map<String, CompletableFuture<CallResult>> calls = new LinkedHashMap<>();
		long startNanos = System.nanoTime();
		for (int count = 0; count < STREAM_COUNT; count++) {
			String prompt = "len=250 silent " + TestSeed.value() + " " + System.nanoTime();
			calls.put(prompt,
					fixture().chat("entry-" + (1 + count % 2), TestConfiguration.TOP_CLASS, prompt, progress.add()));
		}
		progress.awaitTokens(STREAM_COUNT * 10);
		for (int repetition = 0; repetition < repetitions; repetition++) {
			swallowExistingConnections(kind);
			String prompt = "len=5 after silence " + System.nanoTime();
			calls.put(prompt, fixture().chat("entry-1", TestConfiguration.TOP_CLASS, prompt));
			Thread.sleep(1_500);
		}
		for (Map.Entry<String, CompletableFuture<CallResult>> call : calls.entrySet()) {
			CallResult answer = call.getValue().get(TARGET_MILLIS, TimeUnit.MILLISECONDS);
			Assert.assertTrue(answer.complete(), linkName + ", seed " + TestSeed.value() + ": " + describe(answer));
			Assert.assertEquals(answer.text(), DeploymentFixture.expectedAnswer(call.getKey()), linkName);
		}
		long tookMillis = (System.nanoTime() - startNanos) / 1_000_000;
		Assert.assertTrue(tookMillis < TARGET_MILLIS, linkName + " took " + tookMillis + " ms");
	}

	@Test
	public void answersCompleteWhenEngineConnectionsGoSilent() throws Exception {
		answersCompleteWithinTarget("side process and engine", LinkKind.SIDE_BACKEND, 1);
	}

	@DataProvider
	public Object[][] silentOrderLinks() {
		return new Object[][] { { "side process and plain service", LinkKind.SIDE_BACKEND },
				{ "side process and log service", LinkKind.PROCESS_TO_LOG },
				{ "entry and side process", LinkKind.ENTRY_SIDE } };
	}

	@Test(dataProvider = "silentOrderLinks")
	public void ordersAreAnsweredWithinTarget(String linkName, LinkKind kind) throws Exception {
		String warmUpOrder = newOrder();
		Assert.assertTrue(DeploymentFixture.await(fixture().order("entry-1", warmUpOrder, warmUpOrder)).complete());
		swallowExistingConnections(kind);
		for (int count = 0; count < 3; count++) {
			String order = newOrder();
			CallResult answer = fixture().order("entry-1", order, order)
				.get(ORDER_TARGET_MILLIS, TimeUnit.MILLISECONDS);
			int runs = fixture().runsOfOrder(order);
			Assert.assertTrue(runs <= 1, linkName + ": ran " + runs + " times: " + answer);
			Assert.assertTrue(!answer.outcome().equals("not_run") || runs == 0, linkName + ": " + answer);
			Assert.assertTrue(!answer.complete() || runs == 1, linkName + ": " + answer);
		}
		Await.until(linkName + ": an order with a key succeeds", ORDER_TARGET_MILLIS, () -> {
			String order = newOrder();
			return DeploymentFixture.await(fixture().order("entry-1", order, order)).complete();
		});
	}

	/**
	 * Lists the modes of a silent link: one in which new connections work, and one in
	 * which they are silent too.
	 * @return control message of the link, and whether the run can still be reached
	 */
	@DataProvider
	public Object[][] silentLinkModes() {
		return new Object[][] { { SWALLOW_EXISTING, true }, { "{\"mode\":\"swallow\"}", false } };
	}

	@Test(dataProvider = "silentLinkModes")
	public void callsInFlightDoNotWaitForTheirDeadline(String linkMode, boolean reachable) throws Exception {
		BackendPlan victim = fixture().backends(ServiceKind.PLAIN).get(0);
		fixture().setPlainDelay(2_500);
		Map<String, CompletableFuture<CallResult>> orders = new LinkedHashMap<>();
		Map<String, CompletableFuture<CallResult>> quotes = new LinkedHashMap<>();
		for (int count = 0; count < STREAM_COUNT; count++) {
			String order = newOrder();
			orders.put(order, fixture().order("entry-1", order, ""));
			String quote = newOrder();
			quotes.put(quote, fixture().quote("entry-1", quote));
		}
		awaitAllRunning(orders, quotes);
		int lostOrders = reachable ? 0 : runsAt(victim, orders.keySet());
		int repeatedQuotes = reachable ? 0 : runsAt(victim, quotes.keySet());
		fixture().controlLink(LinkKind.ENTRY_SIDE, victim.name(), linkMode);
		try {
			int unknown = 0;
			for (Map.Entry<String, CompletableFuture<CallResult>> call : orders.entrySet()) {
				CallResult answer = call.getValue().get(ORDER_TARGET_MILLIS, TimeUnit.MILLISECONDS);
				unknown += answer.complete() ? 0 : 1;
				Assert.assertTrue(answer.complete() || answer.outcome().equals("unknown"), describe(answer));
				Assert.assertEquals(fixture().runsOfOrder(call.getKey()), 1, describe(answer));
			}
			for (CompletableFuture<CallResult> call : quotes.values()) {
				CallResult answer = call.get(ORDER_TARGET_MILLIS, TimeUnit.MILLISECONDS);
				Assert.assertTrue(answer.complete(), describe(answer));
			}
			Assert.assertEquals(unknown, lostOrders, "orders with an unknown outcome");
			Assert.assertEquals(runs(quotes.keySet()) - STREAM_COUNT, repeatedQuotes, "quotes that were repeated");
		}
		finally {
			fixture().setPlainDelay(5);
			fixture().controlLink(LinkKind.ENTRY_SIDE, victim.name(), "{\"mode\":\"cut\"}");
			fixture().controlLink(LinkKind.ENTRY_SIDE, victim.name(), "{\"mode\":\"pass\"}");
			fixture().awaitServing();
		}
	}

	private void awaitAllRunning(Map<String, CompletableFuture<CallResult>> orders,
			Map<String, CompletableFuture<CallResult>> quotes) throws Exception {
		try {
			Await.until("all calls are running",
					() -> runs(orders.keySet()) + runs(quotes.keySet()) == 2 * STREAM_COUNT);
		}
		catch (AssertionError ex) {
			throw new AssertionError(
					ex.getMessage() + ": orders " + describeAll(orders) + ", quotes " + describeAll(quotes), ex);
		}
	}

	private String describeAll(Map<String, CompletableFuture<CallResult>> calls) throws Exception {
		StringBuilder text = new StringBuilder("ran ").append(runs(calls.keySet())).append(" times");
		for (CompletableFuture<CallResult> call : calls.values()) {
			text.append('\n').append(call.isDone() ? describe(call.get()) : "not answered");
		}
		return text.toString();
	}

	private int runsAt(BackendPlan backend, Set<String> calls) throws Exception {
		int runs = 0;
		for (String call : calls) {
			runs += fixture().runsOfOrder(call, backend);
		}
		return runs;
	}

	private int runs(Set<String> calls) throws Exception {
		int runs = 0;
		for (String call : calls) {
			runs += fixture().runsOfOrder(call);
		}
		return runs;
	}

	private void swallowExistingConnections(LinkKind kind) throws Exception {
		for (ManagedProcess side : deployment().sides()) {
			fixture().controlLink(kind, side.name(), SWALLOW_EXISTING);
		}
	}

	private String describe(CallResult answer) throws Exception {
		StringBuilder text = new StringBuilder(answer.toString());
		for (ManagedProcess process : fixture().processes()) {
			text.append('\n')
				.append(process.name())
				.append(": ")
				.append(fixture().explain(process, answer.requestId()));
		}
		return text.toString();
	}

	private static String newOrder() {
		return "silent-" + TestSeed.value() + "-" + System.nanoTime();
	}

}
