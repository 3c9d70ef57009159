package org.marjoramgw.side.response;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import org.marjoramgw.wire.Message;

/**
 * Buffer of one response: the chunks that the entry has not acknowledged, and the final
 * message once the response has ended.
 *
 * @author The marjoramgw authors
 */
public final class ResponseBuffer {

	private final Deque<Message.Chunk> chunks = new ArrayDeque<>();

	private final ResponseBufferBudget budget;

	private long nextSequence;

	private long bufferedBytes;

	private Message finalMessage;

	/**
	 * Creates an empty buffer.
	 * @param budget memory budget shared by all responses
	 */
	public ResponseBuffer(ResponseBufferBudget budget) {
		this.budget = budget;
	}

	/**
	 * Adds a chunk if the memory budget allows it.
	 * @param chunk the chunk, whose sequence number must be {@link #nextSequence()}
	 * @return whether the chunk was added
	 */
	public boolean add(Message.Chunk chunk) {
		if (!this.budget.tryReserve(chunk.payload().length, this.bufferedBytes)) {
			return false;
		}
		this.bufferedBytes += ResponseBufferBudget.chunkBytes(chunk.payload().length);
		this.chunks.addLast(chunk);
		this.nextSequence++;
		return true;
	}

	/**
	 * Sets the final message of the response.
	 * @param message an {@link Message.End} or a {@link Message.Refusal}
	 */
	public void finish(Message message) {
		this.finalMessage = message;
	}

	/**
	 * Discards the chunks that the entry has received.
	 * @param wantedSequence sequence number of the next chunk that the entry expects
	 * @return whether the entry has the complete response including its final message
	 */
	public boolean acknowledge(long wantedSequence) {
		while (!this.chunks.isEmpty() && this.chunks.peekFirst().sequence() < wantedSequence) {
			release(this.chunks.removeFirst());
		}
		return this.finalMessage != null && wantedSequence > this.nextSequence;
	}

	/**
	 * Returns the messages to send, starting at a sequence number.
	 * @param fromSequence sequence number of the first chunk to return
	 * @return the buffered chunks, followed by the final message if the response has
	 * ended
	 */
	public List<Message> messagesFrom(long fromSequence) {
		List<Message> messages = new ArrayList<>();
		for (Message.Chunk chunk : this.chunks) {
			if (chunk.sequence() >= fromSequence) {
				messages.add(chunk);
			}
		}
		if (this.finalMessage != null) {
			messages.add(this.finalMessage);
		}
		return messages;
	}

	/**
	 * Returns whether all chunks starting at a sequence number are still buffered.
	 * @param fromSequence sequence number of the first chunk
	 * @return whether none of these chunks was discarded
	 */
	public boolean isRetainedFrom(long fromSequence) {
		long firstRetained = this.chunks.isEmpty() ? this.nextSequence : this.chunks.peekFirst().sequence();
		return fromSequence >= firstRetained;
	}

	/**
	 * Returns the sequence number of the next chunk.
	 * @return the sequence number, which equals the number of chunks added so far
	 */
	public long nextSequence() {
		return this.nextSequence;
	}

	/**
	 * Discards all chunks.
	 */
	public void clear() {
		this.chunks.forEach(this::release);
		this.chunks.clear();
	}

	private void release(Message.Chunk chunk) {
		this.budget.release(chunk.payload().length);
		this.bufferedBytes -= ResponseBufferBudget.chunkBytes(chunk.payload().length);
	}

}
