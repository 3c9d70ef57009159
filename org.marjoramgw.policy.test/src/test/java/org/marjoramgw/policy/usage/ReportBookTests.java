package org.marjoramgw.policy.usage;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests {@link ReportBook}.
 *
 * @author The marjoramgw authors
 */
public class ReportBookTests {

	private static final UsageWindows WINDOWS = new UsageWindows(5_000, 10_000);

	/** Window 100 has just ended, and its content may be fixed. */
	private static final long NOW_MILLIS = 101 * 5_000 + 5_500;

	private final ReportBook book = new ReportBook(WINDOWS);

	@Test
	public void firstReportIsThatOfTheFirstSharedCounts() {
		ReportBook fresh = new ReportBook(WINDOWS);
		Assert.assertFalse(fresh.mayBegin(101, NOW_MILLIS));
		Assert.assertTrue(fresh.mayBegin(100, NOW_MILLIS));
		fresh.begin((from) -> OptionalLong.of(98), 100, NOW_MILLIS);
		Assert.assertEquals(fresh.toRecord(NOW_MILLIS), List.of(98L, 99L, 100L));
		ReportBook alone = new ReportBook(WINDOWS);
		alone.begin((from) -> OptionalLong.empty(), 100, NOW_MILLIS);
		Assert.assertEquals(alone.toRecord(NOW_MILLIS), List.of(100L));
	}

	@Test
	public void successorGoesOnBehindWhatIsRecorded() {
		ReportBook successor = new ReportBook(WINDOWS);
		successor.onDone(96);
		record(successor, 97, 1);
		record(successor, 98, 2);
		Assert.assertTrue(successor.mayBegin(101, NOW_MILLIS));
		successor.begin((from) -> OptionalLong.of(90), 101, NOW_MILLIS);
		Assert.assertEquals(successor.toRecord(NOW_MILLIS), List.of(99L, 100L));
		Assert.assertEquals(windows(successor), List.of(97L, 98L));
	}

	@Test
	public void firstContentOfAWindowStays() {
		ReportBook twice = new ReportBook(WINDOWS);
		record(twice, 97, 1);
		record(twice, 97, 2);
		Assert.assertEquals(twice.content(97).orElseThrow(), Map.of("a", 1));
	}

	@Test
	public void windowsAreFinishedInOrder() {
		this.book.onDone(96);
		record(this.book, 97, 1);
		record(this.book, 98, 2);
		this.book.onAccepted(98);
		Assert.assertEquals(windows(this.book), List.of(97L));
		Assert.assertEquals(this.book.doneToRecord(), OptionalLong.empty());
		this.book.onAccepted(97);
		Assert.assertEquals(this.book.doneToRecord(), OptionalLong.of(98));
		this.book.onDone(98);
		Assert.assertEquals(this.book.doneToRecord(), OptionalLong.empty());
		record(this.book, 97, 3);
		Assert.assertEquals(windows(this.book), List.of());
	}

	@Test
	public void longOutageIsNotReportedWhole() {
		ReportBook late = new ReportBook(WINDOWS);
		late.onDone(100);
		long nowMillis = NOW_MILLIS + 3_600_000L * 24;
		late.begin((from) -> OptionalLong.empty(), WINDOWS.at(nowMillis), nowMillis);
		Assert.assertEquals((long) late.toRecord(nowMillis).get(0), WINDOWS.at(nowMillis) - 720 + 1);
	}

	private static void record(ReportBook target, long window, int count) {
		target.onRecorded(window, new TreeMap<>(Map.of("a", count)));
	}

	private static List<Long> windows(ReportBook target) {
		return target.toSend().stream().map(WindowCounts::window).toList();
	}

}
