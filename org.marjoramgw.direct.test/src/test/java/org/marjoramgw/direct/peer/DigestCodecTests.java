package org.marjoramgw.direct.peer;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.marjoramgw.policy.fleet.Digest;
import org.marjoramgw.policy.fleet.PromptReport;
import org.marjoramgw.policy.fleet.ServerReport;
import org.marjoramgw.testkit.TestSeed;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests {@link DigestCodec}.
 *
 * @author The marjoramgw authors
 */
public class DigestCodecTests {

	private static final int CASES = 20_000;

	/** Bytes by which the fixed fields may be shorter than their upper bound. */
	private static final int MAX_HEAD_SLACK = 2 + 2 + 2 + 8;

	private final DigestCodec codec = new DigestCodec();

	/** Guards against reports that arrive changed, and against wrong sizes. */
	@Test
	public void digestsSurviveTheWireAndHaveTheComputedSize() {
		Random random = TestSeed.random(1);
		for (int number = 0; number < 2_000; number++) {
			Digest digest = randomDigest(random);
			byte[] bytes = this.codec.encode(digest);
			Assert.assertEquals(decode(bytes), Optional.of(digest), "seed " + TestSeed.value() + " case " + number);
			int rowBytes = digest.servers().stream().mapToInt(DigestCodec::sizeOf).sum()
					+ digest.prompts().stream().mapToInt(DigestCodec::sizeOf).sum();
			int headBytes = DigestCodec.sizeOf(digest.processId(), digest.sequence());
			Assert.assertTrue(bytes.length <= headBytes + rowBytes, "too small a size");
			Assert.assertTrue(bytes.length >= headBytes + rowBytes - MAX_HEAD_SLACK, "too large a size");
		}
	}

	/** Guards against a small load that rounds to none, and against overflow. */
	@Test
	public void loadIsRoundedUp() {
		Digest digest = new Digest("entry-1", 1, 1,
				List.of(new ServerReport(1, 1, 1, 1, 1, 55.3, 230), new ServerReport(2, 17_020, 0, 0, 0, 0, 0),
						new ServerReport(3, Integer.MAX_VALUE, 0, 0, 0, 0, Integer.MAX_VALUE)),
				List.of());
		List<ServerReport> decoded = decode(this.codec.encode(digest)).orElseThrow().servers();
		Assert.assertEquals(decoded.get(0), new ServerReport(1, 64, 1, 1, 1, 55.5, 230));
		Assert.assertEquals(decoded.get(1), new ServerReport(2, 17_024, 0, 0, 0, 0, 0));
		Assert.assertTrue(decoded.get(2).unreadTokens() > Integer.MAX_VALUE - 64);
		Assert.assertEquals(decoded.get(2).longPauseMillis(), Integer.MAX_VALUE);
	}

	/** Guards against an exception on bytes that somebody else sends. */
	@Test
	public void randomBytesAreNoDigest() {
		Random random = TestSeed.random(2);
		for (int number = 0; number < CASES; number++) {
			byte[] bytes = new byte[random.nextInt(DigestCodec.MAX_BYTES + 100)];
			random.nextBytes(bytes);
			Assert.assertEquals(decode(bytes), Optional.empty(), "seed " + TestSeed.value() + " case " + number);
		}
	}

	/** Guards against an exception on a digest of which some bytes are wrong. */
	@Test
	public void damagedDigestsNeverFail() {
		Random random = TestSeed.random(3);
		for (int number = 0; number < CASES; number++) {
			byte[] bytes = this.codec.encode(randomDigest(random));
			Assert.assertEquals(decode(Arrays.copyOf(bytes, random.nextInt(bytes.length))), Optional.empty(),
					"seed " + TestSeed.value() + " case " + number);
			for (int change = random.nextInt(4); change >= 0; change--) {
				bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
			}
			decode(bytes).ifPresent(DigestCodecTests::assertPlausible);
			decode(Arrays.copyOf(bytes, random.nextInt(bytes.length))).ifPresent(DigestCodecTests::assertPlausible);
		}
	}

	/** Guards against bytes behind a digest, and against a buffer that is used again. */
	@Test
	public void onlyTheGivenLengthIsRead() {
		Digest digest = new Digest("entry-1", 1_700_000_000_000L, 3, List.of(), List.of());
		byte[] bytes = this.codec.encode(digest);
		byte[] longer = Arrays.copyOf(bytes, bytes.length + 1);
		Assert.assertEquals(this.codec.decode(longer, bytes.length), Optional.of(digest));
		Assert.assertEquals(this.codec.decode(longer, longer.length), Optional.empty());
	}

	/** Guards against memory that is allocated for a length which was only declared. */
	@Test
	public void declaredLengthsAreChecked() {
		byte[] id = { (byte) 0x96, (byte) 0xcd, 0x4d, 0x02, (byte) 0xdb, 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff };
		Assert.assertEquals(decode(id), Optional.empty());
		byte[] rows = { (byte) 0x96, (byte) 0xcd, 0x4d, 0x02, (byte) 0xa1, 'a', 1, 1, (byte) 0xdd, 0x7f, (byte) 0xff,
				(byte) 0xff, (byte) 0xfe };
		Assert.assertEquals(decode(rows), Optional.empty());
	}

	/** Guards against datagrams that networks cut into pieces. */
	@Test
	public void digestsAreBounded() {
		List<ServerReport> servers = new ArrayList<>();
		for (int number = 0; number < 100; number++) {
			servers.add(new ServerReport(number << 20, 17_000, 1, 1_000, 1_000, 50, 17_000));
		}
		Digest digest = new Digest("entry-1", 1, 1, servers, List.of());
		Assert.assertThrows(IllegalArgumentException.class, () -> this.codec.encode(digest));
		Assert.assertEquals(this.codec.decode(new byte[2_000], 1_201), Optional.empty());
	}

	private Optional<Digest> decode(byte[] bytes) {
		return this.codec.decode(bytes, bytes.length);
	}

	private static void assertPlausible(Digest digest) {
		Assert.assertTrue(digest.incarnation() > 0 && digest.sequence() > 0);
		for (ServerReport report : digest.servers()) {
			Assert.assertTrue(report.unreadTokens() >= 0 && report.runningCount() >= 0 && report.longPauseMillis() >= 0
					&& report.timelyCount() >= 0 && report.lateCount() >= 0 && report.eventsPerSecond() >= 0);
		}
	}

	private static Digest randomDigest(Random random) {
		List<ServerReport> servers = new ArrayList<>();
		for (int count = random.nextInt(20); count > 0; count--) {
			servers.add(new ServerReport(random.nextInt(), amount(random) / 64 * 64, amount(random), amount(random),
					amount(random), random.nextInt(1_000) * 0.5, amount(random)));
		}
		List<PromptReport> prompts = new ArrayList<>();
		for (int count = random.nextInt(20); count > 0; count--) {
			prompts.add(new PromptReport(random.nextInt(), random.nextInt(), amount(random)));
		}
		return new Digest("entry-" + random.nextInt(1_000), 1 + random.nextInt(Integer.MAX_VALUE) * 800L,
				1 + (random.nextLong() >>> (1 + random.nextInt(62))), servers, prompts);
	}

	private static int amount(Random random) {
		return random.nextInt() >>> (1 + random.nextInt(31));
	}

}
