package org.marjoramgw.platform;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

import org.marjoramgw.policy.fleet.LoadObserver;
import org.marjoramgw.policy.fleet.SharedPart;

/**
 * Observer that records what it is told.
 *
 * @author The marjoramgw authors
 */
final class RecordingLoad implements LoadObserver {

	private final List<String> events = new CopyOnWriteArrayList<>();

	@Override
	public RequestObserver onSent(int serverKey, List<SharedPart> sharedParts, int promptTokens, long targetMillis) {
		this.events.add("sent parts=" + sharedParts.size() + " prompt=" + promptTokens);
		return new RequestObserver() {

			@Override
			public void onFirstToken() {
				RecordingLoad.this.events.add("first");
			}

			@Override
			public void onPause(long pauseMillis) {
			}

			@Override
			public void onEnd(boolean failed) {
				RecordingLoad.this.events.add(failed ? "failed" : "ended");
			}

		};
	}

	/**
	 * Waits for the end of a request.
	 * @param count number of events until then
	 * @return the events
	 * @throws InterruptedException if the wait is interrupted
	 */
	List<String> await(int count) throws InterruptedException {
		for (int wait = 0; wait < 3_000 && this.events.size() < count; wait++) {
			TimeUnit.MILLISECONDS.sleep(1);
		}
		return this.events;
	}

}
