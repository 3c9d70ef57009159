package org.marjoramgw.policy.stream;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

/**
 * Origins of the streams that callers may take up, those of this process and those that
 * others have recorded in the store. Not thread-safe.
 *
 * @author The marjoramgw authors
 */
public final class StreamBook {

	/** Time for which a stream is remembered, in milliseconds. */
	static final long KEEP_MILLIS = VersionBook.TAKE_UP_MILLIS + VersionBook.SLACK_MILLIS;

	/** Streams that are remembered; beyond it the oldest ones are forgotten. */
	static final int MAX_STREAMS = 50_000;

	private final Map<Long, OwnStream> ownStreams = new LinkedHashMap<>();

	private final Map<Long, RecordedStream> recordedStreams = new LinkedHashMap<>();

	/**
	 * Records a stream of this process.
	 * @param key key of the request
	 * @param origin origin of its stream
	 * @param serverId id of the server that brought the first event
	 * @param nowMillis present time, in milliseconds since the Unix epoch
	 */
	public void onBegun(long key, StreamOrigin origin, String serverId, long nowMillis) {
		forgetOld(this.ownStreams, (stream) -> stream.begunMillis, nowMillis);
		this.ownStreams.put(key, new OwnStream(origin, serverId, nowMillis));
	}

	/**
	 * Records a stream that was read from the store.
	 * @param key key of the request
	 * @param origin origin of its stream
	 * @param begunMillis when it began at the latest, in milliseconds since the Unix
	 * epoch
	 * @param nowMillis present time, in milliseconds since the Unix epoch
	 */
	public void onRecord(long key, StreamOrigin origin, long begunMillis, long nowMillis) {
		forgetOld(this.recordedStreams, (stream) -> stream.begunMillis, nowMillis);
		this.recordedStreams.remove(key);
		this.recordedStreams.put(key, new RecordedStream(origin, begunMillis));
	}

	/**
	 * Finds a stream.
	 * @param key key of the request that brought its first event
	 * @return its origin, or empty if the stream isn't known
	 */
	public Optional<StreamOrigin> find(long key) {
		OwnStream own = this.ownStreams.get(key);
		if (own != null) {
			return Optional.of(own.origin);
		}
		return Optional.ofNullable(this.recordedStreams.get(key)).map((stream) -> stream.origin);
	}

	/**
	 * Records that a server was started again under its id, so that the version of the
	 * streams that it has begun since then isn't certain.
	 * @param serverId id of the server
	 * @param startMillis when it started, in milliseconds since the Unix epoch
	 */
	public void onReplaced(String serverId, long startMillis) {
		for (OwnStream stream : this.ownStreams.values()) {
			if (stream.serverId.equals(serverId) && stream.begunMillis >= startMillis - VersionBook.SLACK_MILLIS) {
				stream.origin = new StreamOrigin(stream.origin.service(), Optional.empty());
				stream.recorded = false;
			}
		}
	}

	/**
	 * Returns streams of this process that are not recorded in the store.
	 * @param services tells whether the streams of a service are to be recorded
	 * @param most greatest number of streams
	 * @param nowMillis present time, in milliseconds since the Unix epoch
	 * @return the streams, the oldest ones first
	 */
	public List<StreamRecord> unrecorded(Predicate<String> services, int most, long nowMillis) {
		forgetOld(this.ownStreams, (stream) -> stream.begunMillis, nowMillis);
		List<StreamRecord> unrecorded = new ArrayList<>();
		for (Map.Entry<Long, OwnStream> entry : this.ownStreams.entrySet()) {
			OwnStream stream = entry.getValue();
			if (unrecorded.size() < most && !stream.recorded && services.test(stream.origin.service())) {
				unrecorded.add(new StreamRecord(entry.getKey(), stream.origin));
			}
		}
		return unrecorded;
	}

	/**
	 * Records that the store has acknowledged records of streams of this process.
	 * @param records the records
	 */
	public void onAcknowledged(List<StreamRecord> records) {
		for (StreamRecord record : records) {
			OwnStream stream = this.ownStreams.get(record.key());
			if (stream != null && stream.origin.equals(record.origin())) {
				stream.recorded = true;
			}
		}
	}

	/**
	 * Records that the store may have lost all records of this process.
	 */
	public void onRecordsLost() {
		this.ownStreams.values().forEach((stream) -> stream.recorded = false);
	}

	private static <T> void forgetOld(Map<Long, T> streams, ToLongFunction<T> begunMillis, long nowMillis) {
		Iterator<T> oldestFirst = streams.values().iterator();
		while (oldestFirst.hasNext()) {
			long begun = begunMillis.applyAsLong(oldestFirst.next());
			if (streams.size() <= MAX_STREAMS && begun >= nowMillis - KEEP_MILLIS) {
				return;
			}
			oldestFirst.remove();
		}
	}

	/** Stream of this process. */
	private static final class OwnStream {

		private StreamOrigin origin;

		private final String serverId;

		private final long begunMillis;

		private boolean recorded;

		private OwnStream(StreamOrigin origin, String serverId, long begunMillis) {
			this.origin = origin;
			this.serverId = serverId;
			this.begunMillis = begunMillis;
		}

	}

	/** Stream that was read from the store. */
	private record RecordedStream(StreamOrigin origin, long begunMillis) {
	}

}
