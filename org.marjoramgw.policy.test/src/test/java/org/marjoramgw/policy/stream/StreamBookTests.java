package org.marjoramgw.policy.stream;

import java.util.List;
import java.util.Optional;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests {@link StreamBook}.
 *
 * @author The marjoramgw authors
 */
public class StreamBookTests {

	private static final long START = 1_000_000;

	private static final StreamOrigin V1 = new StreamOrigin("s", Optional.of("v1"));

	private static final StreamOrigin UNKNOWN = new StreamOrigin("s", Optional.empty());

	private final StreamBook book = new StreamBook();

	/** Guards against streams that began before a second version appeared. */
	@Test
	public void streamsAreRecordedOnceTheirServiceIsToBeRecorded() {
		StreamBook streams = new StreamBook();
		streams.onBegun(1, V1, "i-1", START);
		Assert.assertEquals(streams.unrecorded((service) -> false, 10, START), List.of());
		List<StreamRecord> records = streams.unrecorded((service) -> true, 10, START);
		Assert.assertEquals(records, List.of(new StreamRecord(1, V1)));
		streams.onAcknowledged(records);
		Assert.assertEquals(streams.unrecorded((service) -> true, 10, START), List.of());
		streams.onRecordsLost();
		Assert.assertEquals(streams.unrecorded((service) -> true, 10, START), records);
	}

	/** Guards against a version that is certain no longer since its server restarted. */
	@Test
	public void streamsOfAServerThatRestartedUnderItsIdAreUncertain() {
		StreamBook streams = new StreamBook();
		streams.onBegun(1, V1, "i-1", START);
		streams.onBegun(2, V1, "i-1", START + 20_000);
		streams.onBegun(3, V1, "i-2", START + 20_000);
		streams.onAcknowledged(streams.unrecorded((service) -> true, 10, START + 20_000));
		streams.onReplaced("i-1", START + 19_000);
		Assert.assertEquals(streams.find(1), Optional.of(V1));
		Assert.assertEquals(streams.find(2), Optional.of(UNKNOWN));
		Assert.assertEquals(streams.find(3), Optional.of(V1));
		Assert.assertEquals(streams.unrecorded((service) -> true, 10, START + 20_000),
				List.of(new StreamRecord(2, UNKNOWN)), "recorded again");
		Assert.assertFalse(UNKNOWN.mayGoOnAt("v1") || UNKNOWN.mayGoOnAt(""));
	}

	@Test
	public void oldStreamsAreForgotten() {
		for (int key = 0; key < 100; key++) {
			this.book.onBegun(key, V1, "i-1", START + key * 1_000);
			this.book.onRecord(1_000 + key, V1, START + key * 1_000, START + key * 1_000);
		}
		Assert.assertTrue(this.book.find(99 - 40).isPresent() && this.book.find(1_099 - 40).isPresent());
		Assert.assertTrue(this.book.find(99 - 41).isEmpty() && this.book.find(1_099 - 41).isEmpty());
	}

	/** Guards against callers that fill the memory with streams. */
	@Test
	public void numberOfStreamsIsBounded() {
		StreamBook streams = new StreamBook();
		for (int key = 0; key <= StreamBook.MAX_STREAMS + 1; key++) {
			streams.onBegun(key, V1, "i-1", START);
		}
		Assert.assertTrue(streams.find(0).isEmpty());
		Assert.assertTrue(streams.find(StreamBook.MAX_STREAMS + 1).isPresent());
	}

}
