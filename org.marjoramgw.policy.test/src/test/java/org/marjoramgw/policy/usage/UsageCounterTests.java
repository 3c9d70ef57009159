package org.marjoramgw.policy.usage;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests {@link UsageCounter} and {@link UsageLedger}.
 *
 * @author The marjoramgw authors
 */
public class UsageCounterTests {

	private static final UsageWindows WINDOWS = new UsageWindows(5_000, 10_000);

	private final AtomicLong nowMillis = new AtomicLong();

	@Test
	public void requestsAreCountedInTheWindowInWhichTheyBegin() {
		UsageCounter counter = counter();
		counter.onRun("a");
		this.nowMillis.set(4_999);
		counter.onRun("a");
		counter.onRun("b");
		this.nowMillis.set(5_000);
		counter.onRun("a");
		Assert.assertEquals(counter.changed(), List.of(counts(1, Map.of("a", 1)), counts(0, Map.of("a", 2, "b", 1))));
	}

	@Test
	public void runThatDidNotTakePlaceIsTakenBackFromItsWindow() {
		UsageCounter counter = counter();
		UsageObserver.Run run = counter.onRun("a");
		counter.onRun("a");
		this.nowMillis.set(7_000);
		run.takeBack();
		Assert.assertEquals(counter.changed(), List.of(counts(0, Map.of("a", 1))));
	}

	@Test
	public void onlyChangedWindowsAreSharedAgain() {
		UsageCounter counter = counter();
		counter.onRun("a");
		List<WindowCounts> shared = counter.changed();
		counter.onRun("a");
		counter.onShared(shared);
		Assert.assertEquals(counter.changed(), List.of(counts(0, Map.of("a", 2))));
		counter.onShared(counter.changed());
		Assert.assertEquals(counter.changed(), List.of());
	}

	@Test
	public void countsOfACallWithoutAnAnswerAreSharedAgainAfterTheNextOne() {
		UsageCounter counter = counter();
		counter.onRun("a");
		counter.onUnclear(counter.changed());
		counter.onShared(counter.changed());
		Assert.assertEquals(counter.changed(), List.of(counts(0, Map.of("a", 1))));
		this.nowMillis.set(10_000);
		Assert.assertEquals(counter.changed(), List.of());
	}

	@Test
	public void openedWindowIsSharedWithoutCounts() {
		UsageCounter counter = counter();
		counter.open();
		Assert.assertEquals(counter.changed(), List.of(counts(0, Map.of())));
		counter.onShared(counter.changed());
		Assert.assertEquals(counter.changed(), List.of());
	}

	@Test
	public void ledgerSumsTheLatestCountsOfAllSources() {
		UsageLedger ledger = new UsageLedger();
		ledger.put(1, "p/1", 1, Map.of("a", 2));
		ledger.put(1, "p/1", 3, Map.of("a", 5, "b", 1));
		ledger.put(1, "p/1", 2, Map.of("a", 4));
		ledger.put(1, "p/2", 1, Map.of("a", 1, "c", 0));
		ledger.put(2, "q/1", 1, Map.of("a", 7));
		Assert.assertEquals(ledger.sum(1), Map.of("a", 6, "b", 1));
		Assert.assertEquals(ledger.sum(3), Map.of());
		Assert.assertEquals(ledger.first(0).getAsLong(), 1);
		Assert.assertEquals(ledger.sourcesUpTo(1, 10).size(), 2);
		Assert.assertEquals(ledger.sourcesUpTo(2, 1).size(), 1);
		ledger.remove(1, "p/1");
		Assert.assertEquals(ledger.sum(1), Map.of("a", 1));
	}

	private UsageCounter counter() {
		this.nowMillis.set(0);
		return new UsageCounter(WINDOWS, this.nowMillis::get);
	}

	private static WindowCounts counts(long window, Map<String, Integer> counts) {
		return new WindowCounts(window, new TreeMap<>(counts));
	}

}
