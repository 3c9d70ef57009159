package org.marjoramgw.policy.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Chooses the peers that get digests. Not thread-safe.
 * <p>
 * All processes form a ring in the order of a hash of their ids, and each one sends to
 * its nearest neighbours on both sides. So a process gets digests from the peers to which
 * it sends its own, as many as it sends, and notices those that fell silent. They are
 * replaced by the next neighbours, which also replace them by this process.
 *
 * @author The marjoramgw authors
 */
final class PeerRing {

	/** Maximum number of peers on one side that get each digest. */
	private static final int SIDE_COUNT = 12;

	/**
	 * Maximum number of silent neighbours on one side in whose place others get digests.
	 */
	private static final int MAX_REPLACED_COUNT = 12;

	/** Silent neighbours get one of this number of digests. */
	private static final int SILENT_INTERVAL = 8;

	private static final Comparator<Peer> ORDER = Comparator.comparingInt(Peer::ringHash)
		.thenComparing(Peer::processId);

	private final int ownHash;

	private final String ownId;

	private final List<Peer> peers = new ArrayList<>();

	private Set<Peer> chosen = Set.of();

	PeerRing(String ownId) {
		this.ownId = ownId;
		this.ownHash = FleetKeys.serverKey(ownId);
	}

	void add(Peer peer) {
		this.peers.add(peer);
		this.peers.sort(ORDER);
	}

	void remove(Peer peer) {
		this.peers.remove(peer);
	}

	/**
	 * Chooses the peers for a digest, and expects digests of those that get each one.
	 * @param round number of the round
	 * @param nowMillis present time
	 * @return the peers
	 */
	List<Peer> select(long round, long nowMillis) {
		Set<Peer> near = new LinkedHashSet<>();
		Set<Peer> silent = new LinkedHashSet<>();
		int first = firstAfterOwn();
		walk(first, 1, near, silent);
		walk(first - 1, -1, near, silent);
		this.chosen.stream()
			.filter((peer) -> !near.contains(peer))
			.forEach((peer) -> peer.setAwaited(false, nowMillis));
		near.forEach((peer) -> peer.setAwaited(true, nowMillis));
		this.chosen = near;
		List<Peer> selected = new ArrayList<>(near);
		long turn = round;
		for (Peer peer : silent) {
			if (turn++ % SILENT_INTERVAL == 0) {
				selected.add(peer);
			}
		}
		return selected;
	}

	private void walk(int start, int step, Set<Peer> near, Set<Peer> silent) {
		int nearCount = 0;
		int silentCount = 0;
		for (int distance = 0; distance < this.peers.size(); distance++) {
			if (nearCount == SIDE_COUNT || silentCount == MAX_REPLACED_COUNT) {
				return;
			}
			Peer peer = this.peers.get(Math.floorMod(start + step * distance, this.peers.size()));
			if (peer.isSilent()) {
				silent.add(peer);
				silentCount++;
			}
			else {
				near.add(peer);
				nearCount++;
			}
		}
	}

	private int firstAfterOwn() {
		int index = 0;
		while (index < this.peers.size() && isBeforeOwn(this.peers.get(index))) {
			index++;
		}
		return index;
	}

	private boolean isBeforeOwn(Peer peer) {
		int order = Integer.compare(peer.ringHash(), this.ownHash);
		return order < 0 || order == 0 && peer.processId().compareTo(this.ownId) < 0;
	}

}
