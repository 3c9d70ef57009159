package org.marjoramgw.wire;

import java.io.IOException;

import org.marjoramgw.errors.MalformedFrameException;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.core.buffer.ArrayBufferInput;

/**
 * Validates the lengths inside a MessagePack frame before the decoder allocates memory
 * for them.
 *
 * @author The marjoramgw authors
 */
final class FrameValidator {

	private static final int MAX_DEPTH = 4;

	private FrameValidator() {
	}

	/**
	 * Checks that all lengths fit into the frame, that arrays aren't nested too deep,
	 * that only types of the protocol occur, and that no bytes follow the value.
	 * @param body the MessagePack bytes
	 * @throws MalformedFrameException if a check fails or the bytes aren't MessagePack
	 */
	static void validate(byte[] body) throws MalformedFrameException {
		try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(new ArrayBufferInput(body))) {
			validateValue(unpacker, body.length, 0);
			if (unpacker.getTotalReadBytes() != body.length) {
				throw new MalformedFrameException("unexpected bytes after the message", null);
			}
		}
		catch (IOException | RuntimeException ex) {
			throw new MalformedFrameException("invalid MessagePack encoding", ex);
		}
	}

	private static void validateValue(MessageUnpacker unpacker, int frameBytes, int depth)
			throws IOException, MalformedFrameException {
		switch (unpacker.getNextFormat().getValueType()) {
			case ARRAY -> validateArray(unpacker, frameBytes, depth);
			case STRING -> skip(unpacker, unpacker.unpackRawStringHeader(), frameBytes);
			case BINARY -> skip(unpacker, unpacker.unpackBinaryHeader(), frameBytes);
			case INTEGER, BOOLEAN -> unpacker.skipValue();
			default -> throw new MalformedFrameException("MessagePack type not used by the protocol", null);
		}
	}

	private static void validateArray(MessageUnpacker unpacker, int frameBytes, int depth)
			throws IOException, MalformedFrameException {
		int size = unpacker.unpackArrayHeader();
		if (depth >= MAX_DEPTH || size > frameBytes - unpacker.getTotalReadBytes()) {
			throw new MalformedFrameException("array exceeds the frame or the nesting limit", null);
		}
		for (int index = 0; index < size; index++) {
			validateValue(unpacker, frameBytes, depth + 1);
		}
	}

	private static void skip(MessageUnpacker unpacker, int length, int frameBytes)
			throws IOException, MalformedFrameException {
		if (length > frameBytes - unpacker.getTotalReadBytes()) {
			throw new MalformedFrameException("length exceeds the frame", null);
		}
		unpacker.readPayloadAsReference(length);
	}

}
