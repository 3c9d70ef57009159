package org.marjoramgw.direct.peer;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.marjoramgw.policy.fleet.Digest;
import org.marjoramgw.policy.fleet.PromptReport;
import org.marjoramgw.policy.fleet.RoundSchedule;
import org.marjoramgw.policy.fleet.ServerReport;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.core.buffer.ArrayBufferInput;

/**
 * MessagePack codec of digests. Not thread-safe; its buffers are used again.
 * <p>
 * A digest is an array of the format, the id of the process, its incarnation, the
 * sequence, and one array each with the fields of all reports on servers and of all
 * reports on prompts, so that no report has a header of its own.
 *
 * @author The marjoramgw authors
 */
final class DigestCodec {

	static final int MAX_BYTES = RoundSchedule.MAX_DIGEST_BYTES;

	/**
	 * Identifies datagrams of this system and their version, which is in the low byte.
	 */
	private static final int FORMAT = 0x4d02;

	private static final int FIELD_COUNT = 6;

	private static final int SERVER_FIELD_COUNT = 7;

	private static final int PROMPT_FIELD_COUNT = 3;

	private static final int MAX_ID_BYTES = 128;

	/** Format, incarnation and the headers of the arrays and of the id. */
	private static final int FIXED_BYTES = 1 + 3 + 9 + 3 + 3 + 3;

	/**
	 * Tokens are sent as whole numbers of this unit, rounded up. It keeps the error of a
	 * usual prompt below 2%.
	 */
	private static final int UNREAD_UNIT = 64;

	/** The same for the pace, in events per second. */
	private static final double PACE_UNIT = 0.5;

	private final MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();

	private final ArrayBufferInput input = new ArrayBufferInput(new byte[0]);

	private final MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(this.input);

	/**
	 * Returns the size of a digest without reports.
	 * @param processId id of the process
	 * @param sequence sequence of the digest
	 * @return upper bound in bytes
	 */
	static int sizeOf(String processId, long sequence) {
		return FIXED_BYTES + processId.getBytes(StandardCharsets.UTF_8).length + sizeOf(sequence);
	}

	/**
	 * Returns the size of a report in a digest.
	 * @param report the report
	 * @return size in bytes
	 */
	static int sizeOf(ServerReport report) {
		return sizeOf(report.serverKey()) + sizeOf(units(report.unreadTokens(), UNREAD_UNIT))
				+ sizeOf(report.runningCount()) + sizeOf(report.timelyCount()) + sizeOf(report.lateCount())
				+ sizeOf(paceUnits(report)) + sizeOf(report.longPauseMillis());
	}

	/**
	 * Returns the size of a report in a digest.
	 * @param report the report
	 * @return size in bytes
	 */
	static int sizeOf(PromptReport report) {
		return sizeOf(report.partKey()) + sizeOf(report.serverKey()) + sizeOf(report.tokenCount());
	}

	/**
	 * Encodes a digest.
	 * @param digest the digest
	 * @return the bytes
	 */
	byte[] encode(Digest digest) {
		try {
			this.packer.clear();
			this.packer.packArrayHeader(FIELD_COUNT)
				.packInt(FORMAT)
				.packString(digest.processId())
				.packLong(digest.incarnation())
				.packLong(digest.sequence());
			this.packer.packArrayHeader(digest.servers().size() * SERVER_FIELD_COUNT);
			for (ServerReport report : digest.servers()) {
				pack(report);
			}
			this.packer.packArrayHeader(digest.prompts().size() * PROMPT_FIELD_COUNT);
			for (PromptReport report : digest.prompts()) {
				this.packer.packInt(report.partKey()).packInt(report.serverKey()).packInt(report.tokenCount());
			}
			byte[] bytes = this.packer.toByteArray();
			if (bytes.length > MAX_BYTES) {
				throw new IllegalArgumentException("digest of " + bytes.length + " bytes");
			}
			return bytes;
		}
		catch (IOException ex) {
			throw new IllegalStateException("can't write to memory", ex);
		}
	}

	/**
	 * Decodes a digest.
	 * @param bytes buffer that contains it
	 * @param length number of its bytes
	 * @return the digest, or empty if the bytes are none
	 */
	Optional<Digest> decode(byte[] bytes, int length) {
		if (length > MAX_BYTES) {
			return Optional.empty();
		}
		try {
			this.input.reset(bytes, 0, length);
			this.unpacker.reset(this.input);
			Digest digest = unpack(length);
			return (this.unpacker.getTotalReadBytes() == length) ? Optional.of(digest) : Optional.empty();
		}
		catch (IOException | RuntimeException ex) {
			// Bytes of another sender or of a later version.
			return Optional.empty();
		}
	}

	private void pack(ServerReport report) throws IOException {
		this.packer.packInt(report.serverKey())
			.packInt(units(report.unreadTokens(), UNREAD_UNIT))
			.packInt(report.runningCount())
			.packInt(report.timelyCount())
			.packInt(report.lateCount())
			.packInt(paceUnits(report))
			.packInt(report.longPauseMillis());
	}

	private Digest unpack(int length) throws IOException {
		require(this.unpacker.unpackArrayHeader() == FIELD_COUNT);
		require(this.unpacker.unpackInt() == FORMAT);
		String processId = unpackId(length);
		long incarnation = this.unpacker.unpackLong();
		long sequence = this.unpacker.unpackLong();
		require(incarnation > 0 && sequence > 0);
		int serverCount = unpackCount(SERVER_FIELD_COUNT, length);
		List<ServerReport> servers = new ArrayList<>(serverCount);
		for (int index = 0; index < serverCount; index++) {
			servers.add(new ServerReport(this.unpacker.unpackInt(), unpackAmount(UNREAD_UNIT), unpackAmount(1),
					unpackAmount(1), unpackAmount(1), unpackAmount(1) * PACE_UNIT, unpackAmount(1)));
		}
		int promptCount = unpackCount(PROMPT_FIELD_COUNT, length);
		List<PromptReport> prompts = new ArrayList<>(promptCount);
		for (int index = 0; index < promptCount; index++) {
			prompts.add(new PromptReport(this.unpacker.unpackInt(), this.unpacker.unpackInt(), unpackAmount(1)));
		}
		return new Digest(processId, incarnation, sequence, servers, prompts);
	}

	private String unpackId(int length) throws IOException {
		int idBytes = this.unpacker.unpackRawStringHeader();
		require(idBytes > 0 && idBytes <= MAX_ID_BYTES && idBytes <= length - this.unpacker.getTotalReadBytes());
		return new String(this.unpacker.readPayload(idBytes), StandardCharsets.UTF_8);
	}

	/**
	 * Reads the header of an array of reports. Its length is checked before memory is
	 * allocated for them.
	 * @param fieldCount number of fields of a report
	 * @param length number of bytes of the digest
	 * @return number of reports
	 * @throws IOException if there is no such header
	 */
	private int unpackCount(int fieldCount, int length) throws IOException {
		int size = this.unpacker.unpackArrayHeader();
		require(size % fieldCount == 0 && size <= length - this.unpacker.getTotalReadBytes());
		return size / fieldCount;
	}

	private int unpackAmount(int unit) throws IOException {
		int amount = this.unpacker.unpackInt();
		require(amount >= 0 && amount <= Integer.MAX_VALUE / unit);
		return amount * unit;
	}

	private static int units(int amount, int unit) {
		return amount / unit + ((amount % unit > 0 && amount <= Integer.MAX_VALUE - unit) ? 1 : 0);
	}

	private static void require(boolean condition) throws IOException {
		if (!condition) {
			throw new IOException("not a digest");
		}
	}

	private static int paceUnits(ServerReport report) {
		return (int) Math.max(0, Math.round(report.eventsPerSecond() / PACE_UNIT));
	}

	/**
	 * Returns the size of a whole number in MessagePack.
	 * @param value the number
	 * @return size in bytes
	 */
	private static int sizeOf(long value) {
		if (value >= -0x20 && value < 0x80) {
			return 1;
		}
		if (value >= Byte.MIN_VALUE && value < 0x100) {
			return 1 + Byte.BYTES;
		}
		if (value >= Short.MIN_VALUE && value < 0x10000) {
			return 1 + Short.BYTES;
		}
		return (value >= Integer.MIN_VALUE && value < 0x100000000L) ? 1 + Integer.BYTES : 1 + Long.BYTES;
	}

}
