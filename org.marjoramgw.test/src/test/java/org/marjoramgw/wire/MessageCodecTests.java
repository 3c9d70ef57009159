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

	private static final int FUZZ_FRAMES = 20_000;

	private static final int MAX_FUZZ_BYTES = 64;

	private static final int MUTATED_FRAMES = 2_000;

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
	public void decodesWhatItEncoded(Message message) throws MalformedFrameException {
		Assert.assertEquals(this.codec.decode(this.codec.encode(message)), message);
	}

	@Test
	public void keepsTheBytesOfBodiesAndChunks() throws MalformedFrameException {
		byte[] body = { 0, 1, -1, 127 };
		BackendCall call = new BackendCall("POST", "/x", "application/json", body, "so far", false, "k");
		Message.Run run = (Message.Run) this.codec.decode(this.codec.encode(new Message.Run("r", 1, call)));
		Assert.assertEquals(run.call().body(), body);
		Message.Chunk chunk = (Message.Chunk) this.codec
			.decode(this.codec.encode(new Message.Chunk("r", 1, 0, 1, body)));
		Assert.assertEquals(chunk.payload(), body);
	}

	@Test
	public void refusesRandomBytesWithACheckedException() {
		Random random = TestSeed.random(1);
		for (int count = 0; count < FUZZ_FRAMES; count++) {
			byte[] frame = new byte[random.nextInt(MAX_FUZZ_BYTES)];
			random.nextBytes(frame);
			if (frame.length > 0) {
				frame[0] = (byte) random.nextInt(20);
			}
			decodeOrRefuse(frame);
		}
	}

	@Test
	public void refusesTruncatedFramesWithACheckedException() {
		byte[] whole = this.codec.encode(new Message.Reserve("r1", 1, "chat", "m", "c", "acc", 400, 9000, 12));
		for (int length = 0; length < whole.length; length++) {
			byte[] part = Arrays.copyOf(whole, length);
			Assert.assertThrows(MalformedFrameException.class, () -> this.codec.decode(part));
		}
	}

	@Test
	public void refusesMutatedFramesWithACheckedException() {
		Random random = TestSeed.random(2);
		for (Object[] row : messages()) {
			decodeOrRefuseMutated((Message) row[0], random);
		}
		BackendCall call = new BackendCall("POST", "/x", "application/json", new byte[] { 1, 2 }, "so far", false, "k");
		decodeOrRefuseMutated(new Message.Run("r", 1, call), random);
		decodeOrRefuseMutated(new Message.Chunk("r", 1, 0, 1, new byte[] { 1, 2 }), random);
	}

	private void decodeOrRefuseMutated(Message message, Random random) {
		byte[] whole = this.codec.encode(message);
		for (int count = 0; count < MUTATED_FRAMES; count++) {
			byte[] frame = Arrays.copyOf(whole, whole.length - random.nextInt(2) + random.nextInt(3));
			for (int edits = 1 + random.nextInt(3); edits > 0; edits--) {
				frame[random.nextInt(frame.length)] = (byte) random.nextInt(256);
			}
			decodeOrRefuse(frame);
		}
	}

	private void decodeOrRefuse(byte[] frame) {
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
