package org.marjoramgw.wire;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;
import org.marjoramgw.errors.MalformedFrameException;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes and decodes a {@link Message} as one type byte followed by a MessagePack array.
 *
 * @author The marjoramgw authors
 */
public final class MessageCodec {

	/** Protocol version, sent in {@link Message.Hello}. */
	public static final int VERSION = 1;

	/** Maximum size of a frame, in bytes; must be the same in all processes. */
	public static final int MAX_FRAME_BYTES = 4_194_304;

	private static final List<Class<? extends Message>> TYPES = List.of(Message.Hello.class, Message.Heartbeat.class,
			Message.Goodbye.class, Message.Reserve.class, Message.Grant.class, Message.Release.class, Message.Run.class,
			Message.Refusal.class, Message.Chunk.class, Message.End.class, Message.Ack.class, Message.Resume.class,
			Message.Cancel.class, Message.ConfigFetch.class, Message.ConfigText.class);

	private final ObjectWriter writer;

	private final ObjectReader[] readers;

	/**
	 * Creates a codec. It is thread-safe.
	 */
	public MessageCodec() {
		ObjectMapper mapper = new ObjectMapper(new MessagePackFactory());
		mapper.enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);
		mapper.enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES);
		mapper.enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES);
		this.writer = mapper.writer();
		this.readers = TYPES.stream().map(mapper::readerFor).toArray(ObjectReader[]::new);
	}

	/**
	 * Encodes a message.
	 * @param message the message
	 * @return the content of the frame, without the length prefix
	 */
	public byte[] encode(Message message) {
		try {
			byte[] body = this.writer.writeValueAsBytes(message);
			byte[] frame = new byte[body.length + 1];
			frame[0] = (byte) TYPES.indexOf(message.getClass());
			System.arraycopy(body, 0, frame, 1, body.length);
			return frame;
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("cannot encode message of type " + message.getClass().getSimpleName(), ex);
		}
	}

	/**
	 * Decodes a message.
	 * @param frame the content of the frame, without the length prefix
	 * @return the message
	 * @throws MalformedFrameException if the type is unknown or the content doesn't match
	 * it
	 */
	public Message decode(byte[] frame) throws MalformedFrameException {
		if (frame.length == 0 || frame[0] < 0 || frame[0] >= TYPES.size()) {
			throw new MalformedFrameException("unknown message type", null);
		}
		try {
			byte[] body = Arrays.copyOfRange(frame, 1, frame.length);
			FrameValidator.validate(body);
			Message message = this.readers[frame[0]].readValue(body);
			if (message == null) {
				throw new MalformedFrameException("message body is null", null);
			}
			return message;
		}
		catch (IOException | RuntimeException ex) {
			throw new MalformedFrameException(TYPES.get(frame[0]).getSimpleName(), ex);
		}
	}

}
