package org.marjoramgw.policy.fleet;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * Entry processes that exchange digests over a simulated network.
 *
 * @author The marjoramgw authors
 */
final class SimulatedPeers {

	static final long ROUND_MILLIS = 250;

	private final Random random;

	private final Map<Integer, Process> processes = new LinkedHashMap<>();

	private final Set<String> cuts = new HashSet<>();

	private List<Datagram> inFlight = new ArrayList<>();

	private double lossRate;

	private double duplicateRate;

	private double reorderRate;

	private long nowMillis;

	private int maxFanOut;

	SimulatedPeers(Random random) {
		this.random = random;
	}

	/**
	 * Sets how bad the network is.
	 * @param newLossRate share of the datagrams that are lost
	 * @param newDuplicateRate share that arrives twice
	 * @param newReorderRate share that arrives a round later
	 */
	void disturb(double newLossRate, double newDuplicateRate, double newReorderRate) {
		this.lossRate = newLossRate;
		this.duplicateRate = newDuplicateRate;
		this.reorderRate = newReorderRate;
	}

	/**
	 * Starts a process at an address, which ends the one that runs there.
	 * @param id id of the process
	 * @param port port of its address
	 * @return the process
	 */
	Process start(String id, int port) {
		Process process = new Process(id, 1_000 + this.nowMillis, address(port));
		this.processes.put(port, process);
		return process;
	}

	/**
	 * Starts processes with the ids {@code entry-0} and so on, each of which reads a list
	 * of all.
	 * @param count number of processes
	 */
	void startListed(int count) {
		for (int port = 0; port < count; port++) {
			start("entry-" + port, port);
		}
		this.processes.values().forEach(this::list);
	}

	/**
	 * Lets a process read a list of all running processes.
	 * @param reader the process
	 */
	void list(Process reader) {
		reader.membership.onListed(this.processes.values()
			.stream()
			.map((process) -> new PeerListing(process.id, process.incarnation, process.address))
			.toList(), true, this.nowMillis);
	}

	void kill(int port) {
		this.processes.remove(port);
	}

	void cut(int from, int to) {
		this.cuts.add(from + ">" + to);
	}

	void heal(int from, int to) {
		this.cuts.remove(from + ">" + to);
	}

	Process process(int port) {
		return this.processes.get(port);
	}

	Iterable<Process> all() {
		return this.processes.values();
	}

	long nowMillis() {
		return this.nowMillis;
	}

	int maxFanOut() {
		return this.maxFanOut;
	}

	/**
	 * Runs rounds of all processes.
	 * @param millis duration
	 */
	void run(long millis) {
		long endMillis = this.nowMillis + millis;
		while (this.nowMillis < endMillis) {
			this.nowMillis += ROUND_MILLIS;
			deliver();
			for (Process process : this.processes.values()) {
				if (!process.frozen) {
					runRound(process);
				}
			}
		}
	}

	static InetSocketAddress address(int port) {
		return new InetSocketAddress("127.0.0.1", 10_000 + port);
	}

	private void runRound(Process process) {
		process.membership.advance(this.nowMillis);
		process.round++;
		List<InetSocketAddress> targets = process.membership.targets(process.round, this.nowMillis);
		this.maxFanOut = Math.max(this.maxFanOut, targets.size());
		process.sequence++;
		for (InetSocketAddress target : targets) {
			process.sentTo.merge(target, 1, Integer::sum);
			if (this.random.nextDouble() < this.lossRate) {
				continue;
			}
			Datagram datagram = new Datagram(process, process.sequence, target);
			this.inFlight.add(datagram);
			if (this.random.nextDouble() < this.duplicateRate) {
				this.inFlight.add(datagram);
			}
		}
	}

	private void deliver() {
		List<Datagram> arriving = this.inFlight;
		this.inFlight = new ArrayList<>();
		for (Datagram datagram : arriving) {
			if (this.random.nextDouble() < this.reorderRate) {
				this.inFlight.add(datagram);
				continue;
			}
			Process to = this.processes.get(datagram.to.getPort() - 10_000);
			if (to != null && !to.frozen && !this.cuts.contains(port(datagram.from.address) + ">" + port(to.address))) {
				DigestVerdict verdict = to.membership.onDigest(datagram.from.id, datagram.from.incarnation,
						datagram.sequence, datagram.from.address, this.nowMillis);
				to.onVerdict(datagram, verdict);
			}
		}
	}

	private static int port(InetSocketAddress address) {
		return address.getPort() - 10_000;
	}

	/** One simulated process. */
	static final class Process implements MembershipListener {

		final String id;

		final long incarnation;

		final InetSocketAddress address;

		final PeerMembership membership;

		final Map<InetSocketAddress, Integer> sentTo = new HashMap<>();

		final Map<DigestVerdict, Integer> verdicts = new HashMap<>();

		final Map<String, List<Long>> accepted = new HashMap<>();

		final List<String> events = new ArrayList<>();

		boolean frozen;

		private long round;

		private long sequence;

		private Process(String id, long incarnation, InetSocketAddress address) {
			this.id = id;
			this.incarnation = incarnation;
			this.address = address;
			this.membership = new PeerMembership(id, this);
		}

		private void onVerdict(Datagram datagram, DigestVerdict verdict) {
			this.verdicts.merge(verdict, 1, Integer::sum);
			if (verdict == DigestVerdict.ACCEPTED) {
				this.accepted
					.computeIfAbsent(datagram.from.id + "@" + datagram.from.incarnation, (key) -> new ArrayList<>())
					.add(datagram.sequence);
			}
		}

		@Override
		public void onJoined(String processId, long joinedIncarnation, InetSocketAddress from) {
			this.events.add("joined " + processId);
		}

		@Override
		public void onRestarted(String processId, long newIncarnation, InetSocketAddress from) {
			this.events.add("restarted " + processId);
		}

		@Override
		public void onExpired(String processId) {
			this.events.add("expired " + processId);
		}

	}

	private record Datagram(Process from, long sequence, InetSocketAddress to) {
	}

}
