package org.marjoramgw.direct.duty;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SortedMap;
import java.util.TreeMap;

import org.marjoramgw.direct.follow.KeyedRecord;
import org.marjoramgw.policy.lease.LeaseEntry;
import org.marjoramgw.policy.lease.LeaseRecord;
import org.marjoramgw.policy.usage.WindowCounts;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * MessagePack codec of the records in the topics of the duties. Malformed records are
 * ignored.
 *
 * @author The marjoramgw authors
 */
final class DutyCodec {

	private static final String LEASE_KEY = "usage-lease";

	private static final String DONE_KEY = "usage-done";

	private static final String REPORT_PREFIX = "report/";

	private static final int MAX_ACCOUNTS = 10_000;

	private static final int MAX_STANDBYS = 16;

	/** Parts of the key of shared counts: window, process, incarnation. */
	private static final int SOURCE_PARTS = 3;

	private DutyCodec() {
	}

	static KeyedRecord encodeLease(LeaseRecord lease) {
		return new KeyedRecord(LEASE_KEY, Optional.of(pack((packer) -> {
			packer.packString(lease.process()).packLong(lease.incarnation()).packLong(lease.token());
			packer.packLong(lease.sequence()).packBoolean(lease.released()).packLong(lease.sentMillis());
			packer.packArrayHeader(lease.standbys().size());
			for (String standby : lease.standbys()) {
				packer.packString(standby);
			}
		})), 0);
	}

	static Optional<LeaseEntry> decodeLease(KeyedRecord record) {
		return decode(record, LEASE_KEY, (unpacker) -> {
			String process = unpacker.unpackString();
			long incarnation = unpacker.unpackLong();
			long token = unpacker.unpackLong();
			long sequence = unpacker.unpackLong();
			boolean released = unpacker.unpackBoolean();
			long sentMillis = unpacker.unpackLong();
			List<String> standbys = new ArrayList<>();
			int count = Math.min(MAX_STANDBYS, unpacker.unpackArrayHeader());
			for (int index = 0; index < count; index++) {
				standbys.add(unpacker.unpackString());
			}
			return new LeaseEntry(record.offset(),
					new LeaseRecord(process, incarnation, token, sequence, released, sentMillis, standbys));
		});
	}

	static KeyedRecord encodeDone(long window) {
		return new KeyedRecord(DONE_KEY, Optional.of(pack((packer) -> packer.packLong(window))), 0);
	}

	static Optional<Long> decodeDone(KeyedRecord record) {
		return decode(record, DONE_KEY, MessageUnpacker::unpackLong);
	}

	static KeyedRecord encodeReport(WindowCounts report) {
		return new KeyedRecord(REPORT_PREFIX + report.window(),
				Optional.of(pack((packer) -> packCounts(packer, report.counts()))), 0);
	}

	static KeyedRecord deletionOfReport(long window) {
		return new KeyedRecord(REPORT_PREFIX + window, Optional.empty(), 0);
	}

	static Optional<WindowCounts> decodeReport(KeyedRecord record) {
		if (!record.key().startsWith(REPORT_PREFIX)) {
			return Optional.empty();
		}
		OptionalLong window = number(record.key().substring(REPORT_PREFIX.length()));
		return window.isEmpty() ? Optional.empty() : decode(record, record.key(),
				(unpacker) -> new WindowCounts(window.getAsLong(), unpackCounts(unpacker)));
	}

	/**
	 * Returns the part of a key that names the process that counted.
	 * @param member the process
	 * @return process and incarnation
	 */
	static String source(DutyMember member) {
		return member.process() + "/" + member.incarnation();
	}

	static KeyedRecord encodeCounts(DutyMember member, long revision, WindowCounts counts) {
		return new KeyedRecord(counts.window() + "/" + source(member), Optional.of(pack((packer) -> {
			packer.packString(member.failureDomain()).packLong(revision);
			packCounts(packer, counts.counts());
		})), 0);
	}

	static KeyedRecord deletionOfCounts(long window, String source) {
		return new KeyedRecord(window + "/" + source, Optional.empty(), 0);
	}

	/**
	 * Decodes shared counts.
	 * @param record the record
	 * @return the counts, without any if the key was deleted, or empty if the record is
	 * malformed
	 */
	static Optional<SharedCounts> decodeCounts(KeyedRecord record) {
		String[] parts = record.key().split("/", -1);
		if (parts.length != SOURCE_PARTS) {
			return Optional.empty();
		}
		OptionalLong window = number(parts[0]);
		OptionalLong incarnation = number(parts[2]);
		if (window.isEmpty() || incarnation.isEmpty()) {
			return Optional.empty();
		}
		if (record.value().isEmpty()) {
			return Optional.of(new SharedCounts(window.getAsLong(),
					new DutyMember(parts[1], incarnation.getAsLong(), ""), 0, Collections.emptySortedMap()));
		}
		return decode(record, record.key(), (unpacker) -> {
			DutyMember member = new DutyMember(parts[1], incarnation.getAsLong(), unpacker.unpackString());
			return new SharedCounts(window.getAsLong(), member, unpacker.unpackLong(), unpackCounts(unpacker));
		});
	}

	private static void packCounts(MessagePacker packer, SortedMap<String, Integer> counts) throws IOException {
		packer.packMapHeader(counts.size());
		for (Map.Entry<String, Integer> count : counts.entrySet()) {
			packer.packString(count.getKey()).packInt(count.getValue());
		}
	}

	private static SortedMap<String, Integer> unpackCounts(MessageUnpacker unpacker) throws IOException {
		TreeMap<String, Integer> counts = new TreeMap<>();
		int size = unpacker.unpackMapHeader();
		if (size > MAX_ACCOUNTS) {
			throw new IOException("too many accounts: " + size);
		}
		for (int index = 0; index < size; index++) {
			counts.put(unpacker.unpackString(), unpacker.unpackInt());
		}
		return Collections.unmodifiableSortedMap(counts);
	}

	private static OptionalLong number(String text) {
		try {
			return OptionalLong.of(Long.parseLong(text));
		}
		catch (NumberFormatException ex) {
			return OptionalLong.empty();
		}
	}

	private static byte[] pack(Content content) {
		try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
			content.pack(packer);
			return packer.toByteArray();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static <T> Optional<T> decode(KeyedRecord record, String key, Decoder<T> decoder) {
		if (!record.key().equals(key) || record.value().isEmpty()) {
			return Optional.empty();
		}
		try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(record.value().get())) {
			return Optional.of(decoder.unpack(unpacker));
		}
		catch (IOException | MessagePackException ex) {
			// Another writer's record; it says nothing.
			return Optional.empty();
		}
	}

	/** Writer of the value of a record. */
	@FunctionalInterface
	private interface Content {

		void pack(MessagePacker packer) throws IOException;

	}

	/** Reader of the value of a record. */
	@FunctionalInterface
	private interface Decoder<T> {

		T unpack(MessageUnpacker unpacker) throws IOException;

	}

}
