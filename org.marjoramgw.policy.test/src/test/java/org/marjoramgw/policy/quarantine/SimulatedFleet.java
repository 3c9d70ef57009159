package org.marjoramgw.policy.quarantine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;

import org.marjoramgw.ManualMillisClock;

/**
 * Simulation of processes with a common log in front of servers that some prompt parts
 * crash.
 *
 * @author The marjoramgw authors
 */
final class SimulatedFleet {

	static final String MODEL = "m";

	static final String OTHER_MODEL = "n";

	private static final int STEP_MILLIS = 20;

	private static final long DOWN_MILLIS = 3_200;

	/** Time until a process knows that a server crashed and has gathered its requests. */
	private static final long DETECTION_MILLIS = 500;

	private static final int MAX_LOG_LAG_MILLIS = 250;

	private static final int ADVANCE_STEPS = 10;

	private static final int MAX_PREFILL_MILLIS = 900;

	private final ManualMillisClock clock = new ManualMillisClock(0);

	private final Random random;

	private final List<Process> processes = new ArrayList<>();

	private final List<Server> servers = new ArrayList<>();

	private final List<LogEntry> log = new ArrayList<>();

	private final Set<PromptPartKey> badParts;

	private final Map<PromptPartKey, List<Long>> crashTimes = new HashMap<>();

	private final Map<PromptPartKey, List<Long>> arrivalTimes = new HashMap<>();

	private final Set<PromptPartKey> convicted = new TreeSet<>((a, b) -> a.toString().compareTo(b.toString()));

	private int promptCount;

	SimulatedFleet(Random random, int processCount, int serverCount, Set<PromptPartKey> badParts) {
		this.random = random;
		this.badParts = badParts;
		for (int index = 0; index < processCount; index++) {
			this.processes.add(new Process("entry-" + index));
		}
		for (int index = 0; index < serverCount; index++) {
			this.servers.add(new Server("server-" + index));
		}
	}

	long nowMillis() {
		return this.clock.nowMillis();
	}

	Set<PromptPartKey> convicted() {
		return this.convicted;
	}

	/**
	 * Returns how many prompts with a part reached servers late.
	 * @param part a bad part
	 * @param boundMillis time after the fifth crash under the part, in milliseconds
	 * @return the number of prompts after that time
	 */
	long lateArrivals(PromptPartKey part, long boundMillis) {
		List<Long> crashes = this.crashTimes.getOrDefault(part, List.of());
		if (crashes.size() < 5) {
			return 0;
		}
		long lastMillis = crashes.get(4) + boundMillis;
		return this.arrivalTimes.get(part).stream().filter((timeMillis) -> timeMillis > lastMillis).count();
	}

	/** Starts a process that knows only what the store retains. */
	void restartAProcess() {
		int index = this.random.nextInt(this.processes.size());
		Process restarted = new Process(this.processes.get(index).id);
		restarted.position = this.log.size();
		Map<PromptPartKey, Verdict> retained = new HashMap<>();
		for (LogEntry entry : this.log) {
			if (entry.change != null) {
				retained.remove(entry.change.part());
				entry.change.verdict().ifPresent((verdict) -> retained.put(verdict.part(), verdict));
			}
		}
		restarted.quarantine.onSnapshot(retained.values());
		this.processes.set(index, restarted);
	}

	void request(String model, String... parts) {
		Process process = this.processes.get(this.random.nextInt(this.processes.size()));
		List<Server> live = this.servers.stream().filter((server) -> server.downUntil <= nowMillis()).toList();
		List<String> shared = List.of(parts);
		if (live.isEmpty() || process.quarantine.checkBeforeSend(model, shared).isPresent()) {
			return;
		}
		this.promptCount++;
		Server server = live.get(this.random.nextInt(live.size()));
		server.open.add(new Request(process, model, shared, "prompt-" + this.promptCount, nowMillis(),
				nowMillis() + 20 + this.random.nextInt(MAX_PREFILL_MILLIS)));
		badPart(model, shared)
			.forEach((part) -> this.arrivalTimes.computeIfAbsent(part, (key) -> new ArrayList<>()).add(nowMillis()));
	}

	/**
	 * Crashes servers for a reason of their own.
	 * @param share share of the servers, from 0 to 1
	 */
	void crash(double share) {
		for (Server server : this.servers) {
			if (server.downUntil <= nowMillis() && this.random.nextDouble() < share) {
				crash(server);
			}
		}
	}

	void step() {
		this.clock.advanceMillis(STEP_MILLIS);
		this.servers.forEach(this::serve);
		for (Process process : this.processes) {
			process.report();
			process.read();
			if (nowMillis() / STEP_MILLIS % ADVANCE_STEPS == 0) {
				process.quarantine.advance().forEach((change) -> append(new LogEntry(nowMillis(), "", null, change)));
				process.quarantine.verdicts().forEach((verdict) -> this.convicted.add(verdict.part()));
			}
		}
	}

	private void serve(Server server) {
		for (Request request : List.copyOf(server.open)) {
			if (!server.open.contains(request) || request.beginsAt > nowMillis()) {
				continue;
			}
			List<PromptPartKey> bad = badPart(request.model, request.parts);
			if (!bad.isEmpty()) {
				bad.forEach(
						(part) -> this.crashTimes.computeIfAbsent(part, (key) -> new ArrayList<>()).add(nowMillis()));
				crash(server);
				return;
			}
			server.open.remove(request);
			request.process.quarantine.onAnswer(request.model, request.parts);
		}
	}

	private void crash(Server server) {
		server.incarnation++;
		server.downUntil = nowMillis() + DOWN_MILLIS;
		Map<Process, List<Witness>> witnesses = new HashMap<>();
		for (Request request : server.open) {
			List<PromptPartKey> suspects = request.process.quarantine.suspects(request.model, request.parts,
					request.sentAt);
			witnesses.computeIfAbsent(request.process, (key) -> new ArrayList<>())
				.add(new Witness(request.prompt, suspects, request.beginsAt <= nowMillis()));
		}
		server.open.clear();
		witnesses.forEach((process, seen) -> process.reports
			.add(new PendingReport(nowMillis() + DETECTION_MILLIS, server.id + "@" + server.incarnation, seen)));
	}

	private List<PromptPartKey> badPart(String model, List<String> parts) {
		return parts.stream().map((part) -> new PromptPartKey(model, part)).filter(this.badParts::contains).toList();
	}

	private void append(LogEntry entry) {
		this.log.add(entry);
		if (this.random.nextInt(4) == 0) {
			this.log.add(entry);
		}
	}

	private final class Process {

		private final String id;

		private final Quarantine quarantine;

		private final List<PendingReport> reports = new ArrayList<>();

		private int position;

		private long readAt;

		private Process(String id) {
			this.id = id;
			this.quarantine = new Quarantine(id, SimulatedFleet.this.clock, SimulatedFleet.this.clock,
					new Random(SimulatedFleet.this.random.nextLong()));
		}

		private void report() {
			for (PendingReport pending : List.copyOf(this.reports)) {
				if (pending.dueAt <= nowMillis()) {
					this.reports.remove(pending);
					CrashReport report = new CrashReport(pending.server, DETECTION_MILLIS, pending.witnesses);
					this.quarantine.onReport(report, this.id);
					append(new LogEntry(nowMillis(), this.id, report, null));
				}
			}
		}

		private void read() {
			if (nowMillis() < this.readAt) {
				return;
			}
			this.readAt = nowMillis() + SimulatedFleet.this.random.nextInt(MAX_LOG_LAG_MILLIS);
			while (this.position < SimulatedFleet.this.log.size()) {
				LogEntry entry = SimulatedFleet.this.log.get(this.position);
				this.position++;
				if (entry.report != null) {
					this.quarantine.onReport(entry.report, entry.reporter);
				}
				else if (entry.change.verdict().isPresent()) {
					this.quarantine.onVerdict(entry.change.verdict().get());
				}
				else {
					this.quarantine.onCleared(entry.change.part());
				}
			}
		}

	}

	private static final class Server {

		private final String id;

		private final List<Request> open = new ArrayList<>();

		private int incarnation;

		private long downUntil;

		private Server(String id) {
			this.id = id;
		}

	}

	private record Request(Process process, String model, List<String> parts, String prompt, long sentAt,
			long beginsAt) {
	}

	private record PendingReport(long dueAt, String server, List<Witness> witnesses) {
	}

	private record LogEntry(long timeMillis, String reporter, CrashReport report, VerdictChange change) {
	}

}
