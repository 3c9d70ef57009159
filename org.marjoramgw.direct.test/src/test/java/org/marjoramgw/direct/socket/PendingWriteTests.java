package org.marjoramgw.direct.socket;

import java.io.IOException;
import java.lang.ref.WeakReference;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;

import org.apache.pekko.util.ByteString;
import org.marjoramgw.policy.memory.MemoryBudget;
import org.marjoramgw.program.Pause;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests {@link PendingWrite}.
 *
 * @author The marjoramgw authors
 */
public class PendingWriteTests {

	private static final int MAX_COLLECTIONS = 50;

	private static final int COLLECTION_PAUSE_MILLIS = 20;

	@DataProvider
	public Object[][] lengths() {
		return new Object[][] { { 1_000 }, { 4_000_000 } };
	}

	/**
	 * Guards against connections without a request that each keep their last response.
	 */
	@Test(dataProvider = "lengths")
	public void writtenBytesAreNotKept(int length) throws Exception {
		try (ServerSocketChannel server = ServerSocketChannel.open()
			.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
				SocketChannel peer = SocketChannel.open(server.getLocalAddress());
				SocketChannel channel = server.accept()) {
			channel.configureBlocking(false);
			PendingWrite write = new PendingWrite(channel, new SocketMemory(MemoryBudget.unlimited(), () -> {
			}));
			WeakReference<byte[]> kept = write(write, peer, length);
			for (int count = 0; count < MAX_COLLECTIONS && kept.get() != null; count++) {
				System.gc();
				Pause.millis(COLLECTION_PAUSE_MILLIS);
			}
			Assert.assertNull(kept.get(), "the written bytes are still referenced");
			Assert.assertFalse(write.isPending());
		}
	}

	private static WeakReference<byte[]> write(PendingWrite write, SocketChannel peer, int length) throws IOException {
		byte[] bytes = new byte[length];
		write.start(ByteString.fromArrayUnsafe(bytes), () -> {
		});
		ByteBuffer received = ByteBuffer.allocate(length);
		while (received.hasRemaining()) {
			peer.read(received);
			write.resume();
		}
		return new WeakReference<>(bytes);
	}

}
