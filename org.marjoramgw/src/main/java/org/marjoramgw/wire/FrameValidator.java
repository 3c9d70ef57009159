package org.marjoramgw.wire;

import java.io.IOException;

import org.marjoramgw.errors.MalformedFrameException;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.core.buffer.ArrayBufferInput;

/**
 * Check of the lengths inside a frame before anything is allocated for them.
 *
 * @author The marjoramgw authors
 */
final class FrameValidator {

	private static final int MAX_DEPTH = 4;

	private FrameValidator() {
	}

	/**
	 * Checks that each length fits into the frame and that nothing follows the value.
	 * @param body the MessagePack bytes
	 * @throws MalformedFrameException if a length is too great or the nesting too deep
	 */
	static void validate(byte[] body) throws MalformedFrameException {
		try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(new ArrayBufferInput(body))) {
			validateValue(unpacker, body.length, 0);
			if (unpacker.getTotalReadBytes() != body.length) {
				throw new MalformedFrameException("bytes after the message", null);
			}
		}
		catch (IOException | RuntimeException ex) {
			throw new MalformedFrameException("unreadable MessagePack", ex);
		}
	}

	private static void validateValue(MessageUnpacker unpacker, int frameBytes, int depth)
			throws IOException, MalformedFrameException {
		switch (unpacker.getNextFormat().getValueType()) {
			case ARRAY -> validateArray(unpacker, frameBytes, depth);
			case STRING -> skip(unpacker, unpacker.unpackRawStringHeader(), frameBytes);
			case BINARY -> skip(unpacker, unpacker.unpackBinaryHeader(), frameBytes);
			case INTEGER, BOOLEAN -> unpacker.skipValue();
			default -> throw new MalformedFrameException("type not used by the protocol", null);
		}
	}

	private static void validateArray(MessageUnpacker unpacker, int frameBytes, int depth)
			throws IOException, MalformedFrameException {
		int size = unpacker.unpackArrayHeader();
		if (depth >= MAX_DEPTH || size > frameBytes - unpacker.getTotalReadBytes()) {
			throw new MalformedFrameException("array too long or too deep", null);
		}
		for (int index = 0; index < size; index++) {
			validateValue(unpacker, frameBytes, depth + 1);
		}
	}

	private static void skip(MessageUnpacker unpacker, int length, int frameBytes)
			throws IOException, MalformedFrameException {
		if (length > frameBytes - unpacker.getTotalReadBytes()) {
			throw new MalformedFrameException("length over the frame", null);
		}
		unpacker.readPayloadAsReference(length);
	}

}
