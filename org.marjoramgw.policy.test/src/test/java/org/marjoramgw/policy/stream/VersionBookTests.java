package org.marjoramgw.policy.stream;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.marjoramgw.testkit.TestSeed;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests {@link VersionBook}.
 *
 * @author The marjoramgw authors
 */
public class VersionBookTests {

	private static final long START = 1_000_000;

	private static final int STEP_COUNT = 4_000;

	private static final long MAX_STEP_MILLIS = 3_000;

	/** Guards against a version in use that no other process can know of. */
	@Test
	public void versionThatAppearsIsUsedOnceItIsMarked() {
		VersionBook book = new VersionBook("p");
		register(book, START, "v1");
		Assert.assertTrue(book.mayBegin("s", "v1", START), "nothing is known of another version");
		Assert.assertTrue(book.isMarkDue(START));
		book.onAcknowledged(book.mark(START));
		Assert.assertFalse(book.isMarkDue(START));
		register(book, START + 1_000, "v2");
		Assert.assertFalse(book.mayBegin("s", "v2", START + 1_000), "the old version has left");
		Assert.assertTrue(book.isMarkDue(START + 1_000));
		book.onAcknowledged(book.mark(START + 1_000));
		Assert.assertTrue(book.mayBegin("s", "v2", START + 1_000));
	}

	/** Guards against a version that is forgotten while its streams may be taken up. */
	@Test
	public void versionThatLeftIsPossibleWhileItsStreamsMayBeTakenUp() {
		VersionBook before = new VersionBook("p");
		register(before, START, "v1");
		register(before, START + 5_000, "v2");
		VersionMark mark = before.mark(START + 5_000);
		VersionBook after = new VersionBook("q");
		after.onMark("p", mark);
		register(after, START + 6_000, "v2");
		long taken = START + 5_000 + VersionBook.TAKE_UP_MILLIS;
		Assert.assertEquals(after.possible("s", taken), Set.of("v1", "v2"));
		Assert.assertEquals(after.possible("s", taken + VersionBook.SLACK_MILLIS), Set.of("v2"));
	}

	/** Guards against a mark that takes the place of that of an earlier process. */
	@Test
	public void markKeepsWhatAnEarlierProcessOfTheSameNameMarked() {
		VersionBook before = new VersionBook("p");
		register(before, START, "v1");
		VersionBook after = new VersionBook("p");
		after.onMark("p", before.mark(START));
		register(after, START + 2_000, "v2");
		Assert.assertEquals(after.mark(START + 2_000).versions("s", START + 2_000), Set.of("v1", "v2"));
	}

	@Test
	public void markIsDueAgainAfterItsIntervalAndWhenItWasLost() {
		VersionBook book = new VersionBook("p");
		register(book, START, "v1");
		book.onAcknowledged(book.mark(START));
		Assert.assertFalse(book.isMarkDue(START + VersionBook.INTERVAL_MILLIS - 1));
		Assert.assertTrue(book.isMarkDue(START + VersionBook.INTERVAL_MILLIS));
		book.onMarkLost();
		Assert.assertTrue(book.isMarkDue(START));
	}

	/**
	 * Guards against a process that, with all others gone, takes a service for one of a
	 * single version: whatever the history, each version at which a stream began within
	 * the time of a take-up is possible to a process that has read the marks.
	 */
	@Test
	public void whoeverReadsTheMarksKnowsAllVersionsInUse() {
		Random random = TestSeed.random(54);
		Map<String, VersionMark> store = new HashMap<>();
		List<VersionBook> books = new ArrayList<>(List.of(new VersionBook("p0"), new VersionBook("p1")));
		Map<String, Long> begunMillis = new HashMap<>();
		Set<String> registered = new HashSet<>(Set.of("v1"));
		long now = START;
		for (int step = 0; step < STEP_COUNT; step++) {
			now += random.nextLong(MAX_STEP_MILLIS);
			int process = random.nextInt(books.size());
			VersionBook book = books.get(process);
			switch (random.nextInt(5)) {
				case 0 -> change(registered, "v" + (1 + random.nextInt(3)));
				case 1 -> books.set(process, new VersionBook("p" + process));
				default -> {
					store.forEach(book::onMark);
					register(book, now, registered.toArray(new String[0]));
					if (book.isMarkDue(now) && random.nextInt(4) > 0) {
						store.put("p" + process, book.mark(now));
						book.onAcknowledged(book.mark(now));
					}
					for (String version : registered) {
						if (store.containsKey("p" + process) && book.mayBegin("s", version, now)) {
							begunMillis.put(version, now);
						}
					}
				}
			}
			VersionBook fresh = new VersionBook("fresh");
			store.forEach(fresh::onMark);
			register(fresh, now, registered.toArray(new String[0]));
			for (Map.Entry<String, Long> begun : begunMillis.entrySet()) {
				if (begun.getValue() + VersionBook.TAKE_UP_MILLIS >= now) {
					Assert.assertTrue(fresh.possible("s", now).contains(begun.getKey()),
							"step " + step + " seed " + TestSeed.value() + ": " + begun + " of " + store);
				}
			}
		}
	}

	private static void change(Set<String> registered, String version) {
		if (!registered.remove(version)) {
			registered.add(version);
		}
	}

	private static void register(VersionBook book, long nowMillis, String... versions) {
		book.onRegistered((versions.length > 0) ? Map.of("s", Set.of(versions)) : Map.of(), nowMillis);
	}

}
