package org.marjoramgw.direct;

import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletionStage;

import org.marjoramgw.direct.follow.CompactedTopic;
import org.marjoramgw.direct.follow.ConfirmationReads;
import org.marjoramgw.direct.follow.ReadSchedule;
import org.marjoramgw.direct.follow.TopicFollower;
import org.marjoramgw.direct.follow.TopicListener;
import org.marjoramgw.metrics.ResultCounters;
import org.marjoramgw.policy.retry.Backoff;
import org.marjoramgw.time.AgeClock;
import org.marjoramgw.time.Timers;

/**
 * Followers of the topics in the platform's store, with the times of their reads.
 *
 * @author The marjoramgw authors
 */
final class StoreFollowers implements AutoCloseable {

	/**
	 * Long-poll timeout of a configuration read; bounds the age of the configuration's
	 * last confirmation.
	 */
	private static final long CONFIGURATION_WAIT_MILLIS = 1_500;

	/**
	 * Long-poll timeout of a registration read; bounds how long an unresponsive store
	 * goes undetected.
	 */
	private static final long SERVERS_WAIT_MILLIS = 3_000;

	/** Long-poll timeout of a read of crash reports and verdicts. */
	private static final long QUARANTINE_WAIT_MILLIS = 2_000;

	/** Delay within which changes in the store are read together, in milliseconds. */
	private static final long GATHER_MILLIS = 250;

	/** The same for crash reports, which are urgent. */
	private static final long QUARANTINE_GATHER_MILLIS = 100;

	/** Maximum delay of the first retry of a read from the store, in milliseconds. */
	private static final long BASE_BACKOFF_MILLIS = 250;

	/**
	 * Maximum delay of a retry for the configuration, in milliseconds; keys are accepted
	 * again only after a successful read.
	 */
	private static final long MAX_CONFIGURATION_BACKOFF_MILLIS = 600;

	/** Maximum delay of a retry for the other topics, in milliseconds. */
	private static final long MAX_BACKOFF_MILLIS = 1_500;

	private final AgeClock clock;

	private final Timers timers;

	private final ResultCounters counters;

	private final List<TopicFollower> followers;

	private final TopicFollower configuration;

	private final ConfirmationReads configurationReads;

	/**
	 * Creates followers.
	 * @param platform the platform adapter
	 * @param routing listener of the configuration
	 * @param servers listener of the registrations
	 * @param quarantine listener of crash reports and verdicts
	 * @param clock clock that measures ages
	 * @param timers timers
	 * @param counters counters of result codes
	 */
	StoreFollowers(Platform platform, TopicListener routing, TopicListener servers, TopicListener quarantine,
			AgeClock clock, Timers timers, ResultCounters counters) {
		this.clock = clock;
		this.timers = timers;
		this.counters = counters;
		this.configuration = new TopicFollower("configuration", platform.configuration(), routing, clock, timers,
				schedule(CONFIGURATION_WAIT_MILLIS, GATHER_MILLIS, MAX_CONFIGURATION_BACKOFF_MILLIS), counters,
				this::onConfigurationLost);
		this.configurationReads = new ConfirmationReads(this.configuration::confirm,
				() -> clock.now().monotonicMillis());
		this.followers = List.of(this.configuration,
				follower("servers", platform.servers(), servers,
						schedule(SERVERS_WAIT_MILLIS, GATHER_MILLIS, MAX_BACKOFF_MILLIS)),
				follower("quarantine", platform.quarantine(), quarantine,
						schedule(QUARANTINE_WAIT_MILLIS, QUARANTINE_GATHER_MILLIS, MAX_BACKOFF_MILLIS)));
	}

	/**
	 * Starts to follow all topics.
	 */
	void start() {
		this.followers.forEach(TopicFollower::start);
	}

	/**
	 * Reads the configuration with a call that is sent now or later.
	 * @return completes when the read has ended, with whether it was answered
	 */
	CompletionStage<Boolean> confirmConfiguration() {
		return this.configurationReads.request();
	}

	/**
	 * Checks all topics for new records immediately.
	 */
	void confirm() {
		this.followers.forEach(TopicFollower::confirm);
	}

	@Override
	public void close() {
		this.followers.forEach(TopicFollower::close);
	}

	/**
	 * Checks the other topics when the reads of the configuration, which are the shortest
	 * ones, are no longer answered: their connections may have gone silent too.
	 */
	private void onConfigurationLost() {
		this.followers.stream().filter((follower) -> follower != this.configuration).forEach(TopicFollower::confirm);
	}

	private TopicFollower follower(String name, CompactedTopic topic, TopicListener listener, ReadSchedule schedule) {
		return new TopicFollower(name, topic, listener, this.clock, this.timers, schedule, this.counters, () -> {
		});
	}

	private static ReadSchedule schedule(long waitMillis, long gatherMillis, long maxBackoffMillis) {
		return new ReadSchedule(waitMillis, gatherMillis,
				new Backoff(BASE_BACKOFF_MILLIS, maxBackoffMillis, new Random()));
	}

}
