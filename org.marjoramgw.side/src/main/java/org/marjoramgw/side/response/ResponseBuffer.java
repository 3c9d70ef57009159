package org.marjoramgw.side.response;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import org.marjoramgw.wire.Message;

/**
 * Chunks of one answer that its entry hasn't acknowledged, and how the answer ended.
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
	 * @param budget the room that all answers share
	 */
	public ResponseBuffer(ResponseBufferBudget budget) {
		this.budget = budget;
	}

	/**
	 * Adds a chunk.
	 * @param chunk the chunk, with {@link #nextSequence()} as its number
	 * @return whether there was room for it
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
	 * Notes the last message of the answer.
	 * @param message an {@link Message.End} or a {@link Message.Refusal}
	 */
	public void finish(Message message) {
		this.finalMessage = message;
	}

	/**
	 * Drops what the entry has.
	 * @param wantedSequence number of the next chunk that it wants
	 * @return whether the entry has the whole answer, its end included
	 */
	public boolean acknowledge(long wantedSequence) {
		while (!this.chunks.isEmpty() && this.chunks.peekFirst().sequence() < wantedSequence) {
			release(this.chunks.removeFirst());
		}
		return this.finalMessage != null && wantedSequence > this.nextSequence;
	}

	/**
	 * Returns what is to be sent from a number on.
	 * @param fromSequence number of the first chunk that is wanted
	 * @return the chunks that are there, and the last message if the answer is over
	 */
	public List<Message> messagesFrom(long fromSequence) {
		List<Message> rest = new ArrayList<>();
		for (Message.Chunk chunk : this.chunks) {
			if (chunk.sequence() >= fromSequence) {
				rest.add(chunk);
			}
		}
		if (this.finalMessage != null) {
			rest.add(this.finalMessage);
		}
		return rest;
	}

	/**
	 * Tells whether everything from a number on is still kept.
	 * @param fromSequence number of the first chunk that is wanted
	 * @return whether no wanted chunk was dropped
	 */
	public boolean isRetainedFrom(long fromSequence) {
		long firstKept = this.chunks.isEmpty() ? this.nextSequence : this.chunks.peekFirst().sequence();
		return fromSequence >= firstKept;
	}

	/**
	 * Returns the number of the next chunk.
	 * @return the number, which is also the count of chunks so far
	 */
	public long nextSequence() {
		return this.nextSequence;
	}

	/**
	 * Drops all chunks.
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
