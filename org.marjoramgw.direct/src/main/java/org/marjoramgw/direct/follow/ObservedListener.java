package org.marjoramgw.direct.follow;

import java.util.List;

import org.marjoramgw.time.ClockReading;

/**
 * Listener of a topic that tells another component when it has received records.
 *
 * @author The marjoramgw authors
 */
public final class ObservedListener implements TopicListener {

	private final TopicListener listener;

	private final Runnable onSnapshot;

	private final Runnable onReceived;

	/**
	 * Creates a listener.
	 * @param listener receiver of the records
	 * @param onSnapshot called when it has received a snapshot
	 * @param onReceived called when it has received a snapshot or records
	 */
	public ObservedListener(TopicListener listener, Runnable onSnapshot, Runnable onReceived) {
		this.listener = listener;
		this.onSnapshot = onSnapshot;
		this.onReceived = onReceived;
	}

	@Override
	public void onSnapshot(List<KeyedRecord> records) {
		this.listener.onSnapshot(records);
		this.onSnapshot.run();
		this.onReceived.run();
	}

	@Override
	public void onRecords(List<KeyedRecord> records) {
		this.listener.onRecords(records);
		this.onReceived.run();
	}

	@Override
	public void onConfirmed(ClockReading confirmedAt) {
		this.listener.onConfirmed(confirmedAt);
	}

	@Override
	public void onUnreachable() {
		this.listener.onUnreachable();
	}

}
