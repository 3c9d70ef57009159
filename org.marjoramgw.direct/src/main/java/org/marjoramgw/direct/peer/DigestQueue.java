package org.marjoramgw.direct.peer;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;
import java.util.stream.Collectors;

import org.marjoramgw.policy.fleet.Digest;
import org.marjoramgw.policy.fleet.FleetKeys;
import org.marjoramgw.policy.fleet.PromptReport;
import org.marjoramgw.policy.fleet.ServerReport;

/**
 * Reports that wait to be sent, since a digest has room for some of them only. A newer
 * report on the same server takes the place of one that waits. Not thread-safe.
 *
 * @author The marjoramgw authors
 */
final class DigestQueue {

	/** Reports on prompts that wait; the oldest ones are dropped. */
	private static final int MAX_PROMPTS = 256;

	/** Share of a digest that reports on prompts get before those on servers. */
	private static final int PROMPT_SHARE = 3;

	/**
	 * Share of a digest that is kept for reports that didn't change. Peers drop a load
	 * that isn't repeated for some seconds.
	 */
	private static final int UNCHANGED_SHARE = 4;

	private static final Comparator<ServerReport> LOADED_FIRST = Comparator
		.comparing((ServerReport report) -> report.unreadTokens() == 0 && report.runningCount() == 0);

	private final Map<Integer, ServerReport> changed = new LinkedHashMap<>();

	private final Map<Integer, ServerReport> unchanged = new LinkedHashMap<>();

	private final Map<Long, PromptReport> prompts = new LinkedHashMap<>();

	private final Map<Integer, ServerReport> sent = new HashMap<>();

	/**
	 * Adds the reports of a digest.
	 * @param digest the digest
	 * @param complete whether it has reports on all servers
	 */
	void add(Digest digest, boolean complete) {
		if (complete) {
			retain(digest.servers()
				.stream()
				.collect(Collectors.toMap(ServerReport::serverKey, (report) -> report, (first, second) -> second)));
		}
		digest.servers().stream().sorted(LOADED_FIRST).forEach(this::add);
		for (PromptReport report : digest.prompts()) {
			this.prompts.put(FleetKeys.partAtServer(report.partKey(), report.serverKey()), report);
		}
		Iterator<PromptReport> oldest = this.prompts.values().iterator();
		while (this.prompts.size() > MAX_PROMPTS) {
			oldest.next();
			oldest.remove();
		}
	}

	/**
	 * Removes as many reports as fit into a digest, the longest waiting ones first.
	 * @param processId id of this process
	 * @param incarnation incarnation of this process
	 * @param sequence sequence of the digest
	 * @param maxBytes maximum size of the digest
	 * @return the digest
	 */
	Digest take(String processId, long incarnation, long sequence, int maxBytes) {
		List<ServerReport> servers = new ArrayList<>();
		List<PromptReport> digestPrompts = new ArrayList<>();
		int room = maxBytes - DigestCodec.sizeOf(processId, sequence);
		room -= take(this.prompts, digestPrompts, room / PROMPT_SHARE, DigestCodec::sizeOf);
		room -= take(this.unchanged, servers, room / UNCHANGED_SHARE, DigestCodec::sizeOf);
		room -= take(this.changed, servers, room, DigestCodec::sizeOf);
		room -= take(this.prompts, digestPrompts, room, DigestCodec::sizeOf);
		take(this.unchanged, servers, room, DigestCodec::sizeOf);
		servers.forEach((report) -> this.sent.put(report.serverKey(), report));
		return new Digest(processId, incarnation, sequence, servers, digestPrompts);
	}

	private void add(ServerReport report) {
		if (report.equals(this.sent.get(report.serverKey())) && !this.changed.containsKey(report.serverKey())) {
			this.unchanged.put(report.serverKey(), report);
		}
		else {
			this.unchanged.remove(report.serverKey());
			this.changed.put(report.serverKey(), report);
		}
	}

	private void retain(Map<Integer, ServerReport> reports) {
		this.unchanged.keySet().retainAll(reports.keySet());
		this.sent.keySet().retainAll(reports.keySet());
	}

	private static <T> int take(Map<?, T> waiting, List<T> taken, int room, ToIntFunction<T> size) {
		int used = 0;
		Iterator<T> iterator = waiting.values().iterator();
		while (iterator.hasNext()) {
			T report = iterator.next();
			if (used + size.applyAsInt(report) > room) {
				return used;
			}
			used += size.applyAsInt(report);
			taken.add(report);
			iterator.remove();
		}
		return used;
	}

}
