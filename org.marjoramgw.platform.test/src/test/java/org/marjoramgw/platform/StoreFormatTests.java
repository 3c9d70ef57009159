package org.marjoramgw.platform;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletionException;

import org.marjoramgw.direct.follow.KeyedRecord;
import org.marjoramgw.direct.follow.TopicPage;
import org.marjoramgw.direct.follow.TopicPosition;
import org.marjoramgw.direct.follow.TopicSlice;
import org.marjoramgw.errors.StoreUnavailableException;
import org.marjoramgw.testkit.TestSeed;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests {@link StoreFormat}.
 *
 * @author The marjoramgw authors
 */
public class StoreFormatTests {

	@Test
	public void decodesConsecutiveRecordsAndDeletions() {
		TopicSlice slice = StoreFormat.decodeSlice(read(content("a", "one"), content("b", "")), 40, 3);
		Assert.assertEquals(slice.nextOffset(), 42);
		Assert.assertEquals(slice.endOffset(), 99);
		Assert.assertEquals(slice.next(), new TopicPosition(3, 42));
		Assert.assertFalse(slice.reachesEnd());
		Assert.assertEquals(slice.records().get(0).key(), "a");
		Assert.assertEquals(slice.records().get(0).value().orElseThrow(), bytes("one"));
		Assert.assertEquals(slice.records().get(0).offset(), 40);
		Assert.assertTrue(slice.records().get(1).value().isEmpty());
	}

	@Test
	public void emptyReadKeepsOffset() {
		Assert.assertEquals(StoreFormat.decodeSlice(read(), 7, 0).nextOffset(), 7);
	}

	@Test
	public void decodesPage() {
		String value = Base64.getEncoder().encodeToString(bytes("one"));
		TopicPage page = StoreFormat.decodePage(bytes(
				"{\"items\":[{\"key\":\"a\",\"value\":\"" + value + "\",\"offset\":4}],\"hasMore\":true,\"end\":6}"),
				0);
		Assert.assertTrue(page.hasMore());
		Assert.assertEquals(page.endOffset(), 6);
		Assert.assertEquals(page.records().get(0).value().orElseThrow(), bytes("one"));
	}

	@DataProvider
	public Object[][] incompletePages() {
		return new Object[][] { { "{\"hasMore\":false,\"end\":6}" }, { "{\"items\":[],\"end\":6}" },
				{ "{\"items\":[],\"hasMore\":false}" }, { "{\"items\":{},\"hasMore\":false,\"end\":6}" },
				{ "{\"items\":[],\"hasMore\":null,\"end\":6}" }, { "" }, { "[]" } };
	}

	/**
	 * Guards against a page that counts as the whole topic because a field is missing.
	 */
	@Test(dataProvider = "incompletePages")
	public void pageWithoutAFieldIsNotDecoded(String page) {
		Assert.assertThrows(CompletionException.class, () -> StoreFormat.decodePage(bytes(page), 0));
	}

	@Test
	public void encodedRecordsAreReadBack() {
		List<KeyedRecord> records = List.of(new KeyedRecord("a", Optional.of(bytes("one")), 0),
				new KeyedRecord("b", Optional.empty(), 1));
		byte[] encoded = StoreFormat.encodeRecords(records);
		TopicSlice slice = StoreFormat
			.decodeSlice(ByteBuffer.allocate(16 + encoded.length).putLong(2).putLong(0).put(encoded).array(), 0, 0);
		Assert.assertEquals(slice.records().get(0).value().orElseThrow(), bytes("one"));
		Assert.assertEquals(slice.records().get(1).key(), "b");
		Assert.assertTrue(slice.records().get(1).value().isEmpty());
	}

	@Test
	public void lengthBeyondTheBodyFailsBeforeItIsAllocated() {
		byte[] body = ByteBuffer.allocate(20).putLong(0).putLong(0).putInt(Integer.MAX_VALUE).array();
		Assert.assertThrows(CompletionException.class, () -> StoreFormat.decodeSlice(body, 0, 0));
	}

	@Test
	public void corruptedBytesFailWithStoreUnavailable() {
		Random random = TestSeed.random(5);
		byte[] intact = read(content("a", "one"), content("b", "two"));
		for (int step = 0; step < 2_000; step++) {
			byte[] corrupted = Arrays.copyOf(intact, random.nextInt(intact.length + 1));
			if (corrupted.length > 0) {
				corrupted[random.nextInt(corrupted.length)] = (byte) random.nextInt();
			}
			decodeOrFail(() -> StoreFormat.decodeSlice(corrupted, 0, 0));
			decodeOrFail(() -> StoreFormat.decodePage(corrupted, 0));
		}
	}

	private static void decodeOrFail(Runnable decoding) {
		try {
			decoding.run();
		}
		catch (CompletionException ex) {
			Assert.assertTrue(ex.getCause() instanceof StoreUnavailableException,
					"seed " + TestSeed.value() + ": " + ex);
		}
	}

	private static byte[] read(byte[]... contents) {
		ByteBuffer buffer = ByteBuffer.allocate(1_000).putLong(99).putLong(0);
		for (byte[] content : contents) {
			buffer.putInt(content.length).put(content);
		}
		return Arrays.copyOf(buffer.array(), buffer.position());
	}

	private static byte[] content(String key, String value) {
		return ByteBuffer.allocate(1 + key.length() + value.length())
			.put((byte) key.length())
			.put(bytes(key))
			.put(bytes(value))
			.array();
	}

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

}
