package org.marjoramgw.wire;

import java.util.Arrays;
import java.util.Random;

import org.marjoramgw.errors.MalformedFrameException;
import org.marjoramgw.testkit.TestSeed;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests {@link MessageCodec}.
 *
 * @author The marjoramgw authors
 */
public class MessageCodecTests {

	private static final int RANDOM_FRAME_COUNT = 20_000;

	private static final int MAX_RANDOM_FRAME_BYTES = 64;

	private static final int MUTATIONS_PER_MESSAGE = 2_000;

	private final MessageCodec codec = new MessageCodec();

	@DataProvider
	public Object[][] messages() {
		PeerStatus status = new PeerStatus(7, false, 3, 2, 8);
		PeerIdentity peer = new PeerIdentity("e1", "entry", "dal-a", 99, "");
		return new Object[][] { { new Message.Hello(1, "token", peer, status) }, { new Message.Heartbeat(status) },
				{ new Message.Goodbye(6001) },
				{ new Message.Reserve("r1", 1, "chat", "m", "counter", "acc", 400, 9000, 12) },
				{ new Message.Grant("r1", 1, 50) }, { new Message.Release("r1", 1) },
				{ new Message.Refusal("r1", 1, 3001, 250) },
				{ new Message.End("r1", 2, 10, 1000, 200, "text/plain", "stop") }, { new Message.Ack("r1", 1, 5) },
				{ new Message.Resume("r1", 1, 5) }, { new Message.Cancel("r1", 1) }, { new Message.ConfigFetch(3) },
				{ new Message.ConfigText(4, 17, "a = 1") } };
	}

	@Test(dataProvider = "messages")
	public void decodesEncodedMessages(Message message) throws MalformedFrameException {
		Assert.assertEquals(this.codec.decode(this.codec.encode(message)), message);
	}

	@Test
	public void preservesBodyAndChunkBytes() throws MalformedFrameException {
		byte[] body = { 0, 1, -1, 127 };
		BackendCall call = new BackendCall("POST", "/x", "application/json", body, "so far", false, "k");
		Message.Run run = (Message.Run) this.codec.decode(this.codec.encode(new Message.Run("r", 1, call)));
		Assert.assertEquals(run.call().body(), body);
		Message.Chunk chunk = (Message.Chunk) this.codec
			.decode(this.codec.encode(new Message.Chunk("r", 1, 0, 1, body)));
		Assert.assertEquals(chunk.payload(), body);
	}

	@Test
	public void rejectsRandomBytesWithACheckedException() {
		Random random = TestSeed.random(1);
		for (int iteration = 0; iteration < RANDOM_FRAME_COUNT; iteration++) {
			byte[] frame = new byte[random.nextInt(MAX_RANDOM_FRAME_BYTES)];
			random.nextBytes(frame);
			if (frame.length > 0) {
				frame[0] = (byte) random.nextInt(20);
			}
			decodeOrReject(frame);
		}
	}

	@Test
	public void rejectsTruncatedFramesWithACheckedException() {
		byte[] encoded = this.codec.encode(new Message.Reserve("r1", 1, "chat", "m", "c", "acc", 400, 9000, 12));
		for (int length = 0; length < encoded.length; length++) {
			byte[] truncated = Arrays.copyOf(encoded, length);
			Assert.assertThrows(MalformedFrameException.class, () -> this.codec.decode(truncated));
		}
	}

	@Test
	public void rejectsMutatedFramesWithACheckedException() {
		Random random = TestSeed.random(2);
		for (Object[] row : messages()) {
			decodeOrRejectMutations((Message) row[0], random);
		}
		BackendCall call = new BackendCall("POST", "/x", "application/json", new byte[] { 1, 2 }, "so far", false, "k");
		decodeOrRejectMutations(new Message.Run("r", 1, call), random);
		decodeOrRejectMutations(new Message.Chunk("r", 1, 0, 1, new byte[] { 1, 2 }), random);
	}

	private void decodeOrRejectMutations(Message message, Random random) {
		byte[] encoded = this.codec.encode(message);
		for (int iteration = 0; iteration < MUTATIONS_PER_MESSAGE; iteration++) {
			byte[] frame = Arrays.copyOf(encoded, encoded.length - random.nextInt(2) + random.nextInt(3));
			for (int remainingEdits = 1 + random.nextInt(3); remainingEdits > 0; remainingEdits--) {
				frame[random.nextInt(frame.length)] = (byte) random.nextInt(256);
			}
			decodeOrReject(frame);
		}
	}

	private void decodeOrReject(byte[] frame) {
		try {
			Assert.assertNotNull(this.codec.decode(frame));
		}
		catch (MalformedFrameException ex) {
			Assert.assertNotNull(ex.getMessage());
		}
		catch (RuntimeException ex) {
			Assert.fail("seed " + TestSeed.value() + " frame " + Arrays.toString(frame), ex);
		}
	}

}
