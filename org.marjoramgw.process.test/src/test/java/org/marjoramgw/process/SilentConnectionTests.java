package org.marjoramgw.process;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

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
 * Proves that answers go on whole when open connections go silent for good while new ones
 * work, and that nothing waits for a TCP time-out.
 *
 * @author The marjoramgw authors
 */
public class SilentConnectionTests extends ProofTests {

	private static final String SILENCE = "{\"swallow_existing\":true}";

	/** Completion target of the class of the calls, in milliseconds. */
	private static final long TARGET_MILLIS = 30_000;

	/** Completion target of the orders, in milliseconds. */
	private static final long ORDER_TARGET_MILLIS = 10_000;

	private static final int STREAM_COUNT = 6;

	@Override
	protected DeploymentPlan plan() {
		return ProofPlan.of(2, 2, 2);
	}

	@DataProvider
	public Object[][] silences() {
		return new Object[][] { { "entry and side process", LinkKind.ENTRY_SIDE, 1 },
				{ "entry and side process, twice", LinkKind.ENTRY_SIDE, 2 } };
	}

	@Test(dataProvider = "silences")
	public void answersGoOnWholeWithinTheirTarget(String between, LinkKind kind, int times) throws Exception {
		AtomicInteger tokens = new AtomicInteger();
		Map<String, CompletableFuture<CallResult>> calls = new LinkedHashMap<>();
		long startNanos = System.nanoTime();
		for (int count = 0; count < STREAM_COUNT; count++) {
			String prompt = "len=250 silent " + TestSeed.value() + " " + System.nanoTime();
			calls.put(prompt, bed().chat("entry-" + (1 + count % 2), ProofConfiguration.TOP, prompt,
					(text) -> tokens.incrementAndGet()));
		}
		Await.until("streams flow", () -> tokens.get() > STREAM_COUNT * 10);
		for (int time = 0; time < times; time++) {
			silence(kind);
			String prompt = "len=5 after silence " + System.nanoTime();
			calls.put(prompt, bed().chat("entry-1", ProofConfiguration.TOP, prompt));
			Thread.sleep(1_500);
		}
		for (Map.Entry<String, CompletableFuture<CallResult>> call : calls.entrySet()) {
			CallResult answer = call.getValue().get(TARGET_MILLIS, TimeUnit.MILLISECONDS);
			Assert.assertTrue(answer.complete(), between + ", seed " + TestSeed.value() + ": " + explained(answer));
			Assert.assertEquals(answer.text(), ProofBed.expectedAnswer(call.getKey()), between);
		}
		long tookMillis = (System.nanoTime() - startNanos) / 1_000_000;
		Assert.assertTrue(tookMillis < TARGET_MILLIS, between + " took " + tookMillis + " ms");
	}

	@Test
	public void answersGoOnWholeWhenEnginesGoSilent() throws Exception {
		answersGoOnWholeWithinTheirTarget("side process and engine", LinkKind.SIDE_BACKEND, 1);
	}

	@DataProvider
	public Object[][] orderSilences() {
		return new Object[][] { { "side process and plain service", LinkKind.SIDE_BACKEND },
				{ "side process and log service", LinkKind.PROCESS_TO_LOG },
				{ "entry and side process", LinkKind.ENTRY_SIDE } };
	}

	@Test(dataProvider = "orderSilences")
	public void ordersAreAnsweredWithinTheirTarget(String between, LinkKind kind) throws Exception {
		String warm = newOrder();
		Assert.assertTrue(ProofBed.await(bed().order("entry-1", warm, warm)).complete());
		silence(kind);
		for (int count = 0; count < 3; count++) {
			String order = newOrder();
			CallResult answer = bed().order("entry-1", order, order).get(ORDER_TARGET_MILLIS, TimeUnit.MILLISECONDS);
			int runs = bed().runsOfOrder(order);
			Assert.assertTrue(runs <= 1, between + ": ran " + runs + " times: " + answer);
			Assert.assertTrue(!answer.outcome().equals("not_run") || runs == 0, between + ": " + answer);
			Assert.assertTrue(!answer.complete() || runs == 1, between + ": " + answer);
		}
		Await.until(between + ": keyed orders are served again", ORDER_TARGET_MILLIS, () -> {
			String order = newOrder();
			return ProofBed.await(bed().order("entry-1", order, order)).complete();
		});
	}

	/**
	 * Lists the silences: one that a new connection ends, and one that it doesn't.
	 * @return what the link does, and whether the run can still be reached
	 */
	@DataProvider
	public Object[][] silencesInFlight() {
		return new Object[][] { { SILENCE, true }, { "{\"mode\":\"swallow\"}", false } };
	}

	@Test(dataProvider = "silencesInFlight")
	public void callsInFlightDoNotWaitForTheirDeadline(String silence, boolean reachable) throws Exception {
		BackendPlan struck = bed().backends(ServiceKind.PLAIN).get(0);
		bed().plainDelay(2_500);
		Map<String, CompletableFuture<CallResult>> orders = new LinkedHashMap<>();
		Map<String, CompletableFuture<CallResult>> quotes = new LinkedHashMap<>();
		for (int count = 0; count < STREAM_COUNT; count++) {
			String order = newOrder();
			orders.put(order, bed().order("entry-1", order, ""));
			String quote = newOrder();
			quotes.put(quote, bed().quote("entry-1", quote));
		}
		Await.until("calls run", () -> runs(orders.keySet()) + runs(quotes.keySet()) == 2 * STREAM_COUNT);
		int lostOrders = reachable ? 0 : runsAt(struck, orders.keySet());
		int movedQuotes = reachable ? 0 : runsAt(struck, quotes.keySet());
		bed().link(LinkKind.ENTRY_SIDE, struck.name(), silence);
		try {
			int unknown = 0;
			for (Map.Entry<String, CompletableFuture<CallResult>> call : orders.entrySet()) {
				CallResult answer = call.getValue().get(ORDER_TARGET_MILLIS, TimeUnit.MILLISECONDS);
				unknown += answer.complete() ? 0 : 1;
				Assert.assertTrue(answer.complete() || answer.outcome().equals("unknown"), explained(answer));
				Assert.assertEquals(bed().runsOfOrder(call.getKey()), 1, explained(answer));
			}
			for (CompletableFuture<CallResult> call : quotes.values()) {
				CallResult answer = call.get(ORDER_TARGET_MILLIS, TimeUnit.MILLISECONDS);
				Assert.assertTrue(answer.complete(), explained(answer));
			}
			Assert.assertEquals(unknown, lostOrders, "orders that ended as unknown");
			Assert.assertEquals(runs(quotes.keySet()) - STREAM_COUNT, movedQuotes, "quotes that ran again");
		}
		finally {
			bed().plainDelay(5);
			bed().link(LinkKind.ENTRY_SIDE, struck.name(), "{\"mode\":\"cut\"}");
			bed().link(LinkKind.ENTRY_SIDE, struck.name(), "{\"mode\":\"pass\"}");
			bed().awaitServing();
		}
	}

	private int runsAt(BackendPlan backend, Set<String> calls) throws Exception {
		int runs = 0;
		for (String call : calls) {
			runs += bed().runsOfOrder(call, backend);
		}
		return runs;
	}

	private int runs(Set<String> calls) throws Exception {
		int runs = 0;
		for (String call : calls) {
			runs += bed().runsOfOrder(call);
		}
		return runs;
	}

	private void silence(LinkKind kind) throws Exception {
		for (ManagedProcess side : deployment().sides()) {
			bed().link(kind, side.name(), SILENCE);
		}
	}

	private String explained(CallResult answer) throws Exception {
		StringBuilder text = new StringBuilder(answer.toString());
		for (ManagedProcess process : bed().processes()) {
			text.append('\n').append(process.name()).append(": ").append(bed().explain(process, answer.requestId()));
		}
		return text.toString();
	}

	private static String newOrder() {
		return "silent-" + TestSeed.value() + "-" + System.nanoTime();
	}

}
