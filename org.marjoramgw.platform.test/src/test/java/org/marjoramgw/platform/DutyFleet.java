package org.marjoramgw.platform;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicInteger;

import com.typesafe.config.ConfigFactory;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.marjoramgw.MillisClock;
import org.marjoramgw.SystemMillisClock;
import org.marjoramgw.direct.duty.DutyMember;
import org.marjoramgw.direct.duty.UsageDuty;
import org.marjoramgw.direct.duty.UsagePlatform;
import org.marjoramgw.direct.duty.UsageReports;
import org.marjoramgw.policy.lease.LeaseTimes;
import org.marjoramgw.policy.usage.UsageWindows;
import org.marjoramgw.policy.usage.WindowCounts;
import org.marjoramgw.program.Pause;
import org.marjoramgw.time.PekkoTimers;

/**
 * Processes that report their usage together, in one JVM, with a store and a receiver
 * that fail on demand.
 *
 * @author The marjoramgw authors
 */
final class DutyFleet implements AutoCloseable {

	/**
	 * Short windows, so that a test sees some of them. Several calls in turn may fail
	 * until the content of a report is fixed.
	 */
	static final UsageWindows WINDOWS = new UsageWindows(1_000, 8_000);

	private static final long LEASE_MILLIS = 2_000;

	private final ActorSystem<Void> system = ActorSystem.create(Behaviors.empty(), "duty",
			ConfigFactory.load("direct"));

	private final MemoryTopic usage = new MemoryTopic();

	private final MemoryTopic duties = new MemoryTopic();

	private final List<Member> members = new ArrayList<>();

	private final Map<Long, WindowCounts> accepted = new TreeMap<>();

	private final List<String> violations = new ArrayList<>();

	private final AtomicInteger faultCount = new AtomicInteger();

	private volatile FaultyTopic.Fault[] storeFaults = { FaultyTopic.Fault.NONE };

	private volatile boolean receiverAway;

	private String lastHolder = "";

	private long highestToken = -1;

	DutyFleet(int processes) {
		for (int number = 0; number < processes; number++) {
			this.members.add(new Member("p" + number));
		}
	}

	/**
	 * Counts a run in a process.
	 * @param process number of the process
	 */
	void count(int process) {
		this.members.get(process).duty.observer().onRun("coop");
	}

	/**
	 * Sets the faults of the calls to the store, which follow each other in turn.
	 * @param faults the faults
	 */
	void setStoreFaults(FaultyTopic.Fault... faults) {
		this.storeFaults = faults;
	}

	void setReceiverAway(boolean away) {
		this.receiverAway = away;
	}

	UsageDuty duty(String process) {
		return member(process).duty;
	}

	/**
	 * Ends all calls of a process.
	 * @param process its id
	 */
	void kill(String process) {
		member(process).dead = true;
	}

	/**
	 * Waits until a report was accepted from another process.
	 * @param other id of the process that doesn't count
	 * @param seconds longest wait
	 * @return id of the process that sent the last report
	 */
	String awaitHolder(String other, int seconds) {
		for (int wait = 0; wait < seconds * 50 && (lastHolder().isEmpty() || lastHolder().equals(other)); wait++) {
			Pause.millis(20);
		}
		return lastHolder();
	}

	/**
	 * Waits until the reports contain a number of requests.
	 * @param count the number
	 * @param seconds longest wait
	 * @return the number that they contain then
	 */
	int awaitReported(int count, int seconds) {
		for (int wait = 0; wait < seconds * 50 && reportedCount() < count; wait++) {
			Pause.millis(20);
		}
		return reportedCount();
	}

	/**
	 * Returns the windows between the first and the last report that were not reported.
	 * @return number of the windows
	 */
	synchronized List<Long> missingWindows() {
		List<Long> missing = new ArrayList<>();
		List<Long> windows = new ArrayList<>(this.accepted.keySet());
		for (long window = windows.get(0); window < windows.get(windows.size() - 1); window++) {
			if (!this.accepted.containsKey(window)) {
				missing.add(window);
			}
		}
		return missing;
	}

	synchronized List<String> violations() {
		return List.copyOf(this.violations);
	}

	synchronized String lastHolder() {
		return this.lastHolder;
	}

	private synchronized int reportedCount() {
		return this.accepted.values().stream().mapToInt((report) -> report.counts().getOrDefault("coop", 0)).sum();
	}

	private Member member(String process) {
		return this.members.get(Integer.parseInt(process.substring(1)));
	}

	private synchronized UsageReports.Answer accept(WindowCounts report, String holder, long token) {
		if (token < this.highestToken) {
			return UsageReports.Answer.TOKEN_REFUSED;
		}
		this.highestToken = token;
		this.lastHolder = holder;
		WindowCounts earlier = this.accepted.putIfAbsent(report.window(), report);
		if (earlier != null && !earlier.equals(report)) {
			this.violations.add("two contents of window " + report.window());
		}
		return UsageReports.Answer.ACCEPTED;
	}

	@Override
	public void close() {
		this.members.forEach((member) -> member.dead = true);
		this.system.terminate();
	}

	/** One of the processes. */
	private final class Member implements UsageReports {

		private final UsageDuty duty;

		private volatile boolean dead;

		private Member(String process) {
			MillisClock clock = new SystemMillisClock();
			UsagePlatform platform = new UsagePlatform(new FaultyTopic(DutyFleet.this.usage, this::fault),
					new FaultyTopic(DutyFleet.this.duties, this::fault), this);
			this.duty = new UsageDuty(new DutyMember(process, 1, "domain-" + process), WINDOWS,
					LeaseTimes.of(LEASE_MILLIS, true), platform, clock, System::currentTimeMillis,
					new PekkoTimers(DutyFleet.this.system), () -> 0);
			this.duty.start();
		}

		private FaultyTopic.Fault fault() {
			FaultyTopic.Fault[] faults = DutyFleet.this.storeFaults;
			return this.dead ? FaultyTopic.Fault.AWAY
					: faults[DutyFleet.this.faultCount.getAndIncrement() % faults.length];
		}

		@Override
		public CompletionStage<Answer> send(WindowCounts report, String holder, long token, long timeoutMillis) {
			return (this.dead || DutyFleet.this.receiverAway) ? CompletableFuture.failedFuture(new IOException("away"))
					: CompletableFuture.completedFuture(accept(report, holder, token));
		}

	}

}
