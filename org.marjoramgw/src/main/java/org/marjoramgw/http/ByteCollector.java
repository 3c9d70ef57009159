package org.marjoramgw.http;

import java.nio.ByteBuffer;

import org.apache.pekko.util.ByteString;

/**
 * Collects bytes that arrive in pieces by copying them into blocks. A piece may be far
 * smaller than the buffer that it is a part of and than the objects around it, so that
 * the pieces themselves must not be kept. Not thread-safe.
 *
 * @author The marjoramgw authors
 */
public final class ByteCollector {

	private static final int MIN_BLOCK_BYTES = 512;

	private static final int MAX_BLOCK_BYTES = 64 << 10;

	private ByteString fullBlocks = ByteString.emptyByteString();

	private byte[] block = new byte[0];

	private int usedBytes;

	/**
	 * Returns the number of bytes collected.
	 * @return the number of bytes
	 */
	public int length() {
		return this.fullBlocks.size() + this.usedBytes;
	}

	/**
	 * Copies bytes.
	 * @param bytes the bytes, which are consumed
	 * @return memory that is occupied in addition, in bytes
	 */
	public long add(ByteBuffer bytes) {
		long addedBytes = 0;
		while (bytes.hasRemaining()) {
			if (this.usedBytes == this.block.length) {
				startBlock(bytes.remaining());
				addedBytes += this.block.length;
			}
			int copied = Math.min(bytes.remaining(), this.block.length - this.usedBytes);
			bytes.get(this.block, this.usedBytes, copied);
			this.usedBytes += copied;
		}
		return addedBytes;
	}

	/**
	 * Returns the bytes collected.
	 * @return the bytes, which don't change when more are added
	 */
	public ByteString toByteString() {
		return this.fullBlocks.concat(ByteString.fromArrayUnsafe(this.block, 0, this.usedBytes));
	}

	/**
	 * Forgets the bytes collected.
	 */
	public void clear() {
		this.fullBlocks = ByteString.emptyByteString();
		this.block = new byte[0];
		this.usedBytes = 0;
	}

	/**
	 * Returns the memory that collected bytes occupy at most.
	 * @param length number of bytes
	 * @return the memory, in bytes
	 */
	public static long maxOccupiedBytes(long length) {
		return length + Math.min(length, MAX_BLOCK_BYTES) + MIN_BLOCK_BYTES;
	}

	private void startBlock(int neededBytes) {
		int wantedBytes = Math.max(Math.max(neededBytes, 2 * this.block.length), MIN_BLOCK_BYTES);
		this.fullBlocks = toByteString();
		this.block = new byte[Math.min(wantedBytes, MAX_BLOCK_BYTES)];
		this.usedBytes = 0;
	}

}
