package org.marjoramgw.side.answer;

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
public final class AnswerBuffer {

	private final Deque<Message.Chunk> chunks = new ArrayDeque<>();

	private final AnswerBudget budget;

	private long nextSequence;

	private long bytes;

	private Message last;

	/**
	 * Creates an empty buffer.
	 * @param budget the room that all answers share
	 */
	public AnswerBuffer(AnswerBudget budget) {
		this.budget = budget;
	}

	/**
	 * Adds a chunk.
	 * @param chunk the chunk, with {@link #nextSequence()} as its number
	 * @return whether there was room for it
	 */
	public boolean add(Message.Chunk chunk) {
		if (!this.budget.take(chunk.payload().length, this.bytes)) {
			return false;
		}
		this.bytes += AnswerBudget.costOf(chunk.payload().length);
		this.chunks.addLast(chunk);
		this.nextSequence++;
		return true;
	}

	/**
	 * Notes the last message of the answer.
	 * @param message an {@link Message.End} or a {@link Message.Refusal}
	 */
	public void finish(Message message) {
		this.last = message;
	}

	/**
	 * Drops what the entry has.
	 * @param wantedSequence number of the next chunk that it wants
	 * @return whether the entry has the whole answer, its end included
	 */
	public boolean acknowledge(long wantedSequence) {
		while (!this.chunks.isEmpty() && this.chunks.peekFirst().sequence() < wantedSequence) {
			drop(this.chunks.removeFirst());
		}
		return this.last != null && wantedSequence > this.nextSequence;
	}

	/**
	 * Returns what is to be sent from a number on.
	 * @param fromSequence number of the first chunk that is wanted
	 * @return the chunks that are there, and the last message if the answer is over
	 */
	public List<Message> from(long fromSequence) {
		List<Message> rest = new ArrayList<>();
		for (Message.Chunk chunk : this.chunks) {
			if (chunk.sequence() >= fromSequence) {
				rest.add(chunk);
			}
		}
		if (this.last != null) {
			rest.add(this.last);
		}
		return rest;
	}

	/**
	 * Tells whether everything from a number on is still kept.
	 * @param fromSequence number of the first chunk that is wanted
	 * @return whether no wanted chunk was dropped
	 */
	public boolean reachesBackTo(long fromSequence) {
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
		this.chunks.forEach(this::drop);
		this.chunks.clear();
	}

	private void drop(Message.Chunk chunk) {
		this.budget.giveBack(chunk.payload().length);
		this.bytes -= AnswerBudget.costOf(chunk.payload().length);
	}

}
