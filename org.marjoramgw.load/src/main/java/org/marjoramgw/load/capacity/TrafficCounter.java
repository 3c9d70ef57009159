package org.marjoramgw.load.capacity;

import java.util.concurrent.atomic.LongAdder;

import org.marjoramgw.wire.Message;
import org.marjoramgw.wire.MessageCodec;

/**
 * Counts the messages and bytes that fake peers exchange with a process; thread-safe.
 *
 * @author The marjoramgw authors
 */
final class TrafficCounter {

	private static final int LENGTH_PREFIX_BYTES = 4;

	private final MessageCodec codec;

	private final LongAdder messages = new LongAdder();

	private final LongAdder bytes = new LongAdder();

	TrafficCounter(MessageCodec codec) {
		this.codec = codec;
	}

	void add(Message message) {
		this.messages.increment();
		this.bytes.add(this.codec.encode(message).length + LENGTH_PREFIX_BYTES);
	}

	long messages() {
		return this.messages.sum();
	}

	long bytes() {
		return this.bytes.sum();
	}

}
