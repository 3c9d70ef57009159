package org.marjoramgw.policy.fleet;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides which processes are peers, which of their digests are used and which peers get
 * those of this process. Not thread-safe.
 *
 * @author The marjoramgw authors
 */
public final class PeerMembership {

	/** Age of the last digest of a peer from which its rows are not used any more. */
	static final long EXPIRY_MILLIS = 2_000;

	/**
	 * Time without an expected digest after which a peer gets few digests and counts as
	 * no member.
	 */
	static final long SILENCE_MILLIS = 10_000;

	/** Time after which a silent peer is forgotten unless the list names it. */
	static final long FORGET_MILLIS = 60_000;

	/** Maximum number of peers, three times as many as are planned for. */
	static final int MAX_PEERS = 1_024;

	private final String ownId;

	private final MembershipListener listener;

	private final Map<String, Peer> peers = new HashMap<>();

	private final PeerRing ring;

	private boolean changed;

	/**
	 * Creates a membership without peers.
	 * @param ownId id of this process
	 * @param listener receiver of changes of single peers
	 */
	public PeerMembership(String ownId, MembershipListener listener) {
		this.ownId = ownId;
		this.listener = listener;
		this.ring = new PeerRing(ownId);
	}

	/**
	 * Decides on a received digest and records its sender.
	 * @param processId id of the sender
	 * @param incarnation incarnation of the sender
	 * @param sequence sequence of the digest
	 * @param from address of the sender
	 * @param nowMillis present time
	 * @return the decision
	 */
	public DigestVerdict onDigest(String processId, long incarnation, long sequence, InetSocketAddress from,
			long nowMillis) {
		if (processId.equals(this.ownId)) {
			return DigestVerdict.OWN;
		}
		Peer peer = this.peers.get(processId);
		if (peer == null) {
			if (this.peers.size() >= MAX_PEERS) {
				return DigestVerdict.TOO_MANY_PEERS;
			}
			peer = add(new Peer(processId, incarnation, from, nowMillis));
		}
		else if (peer.incarnation() != incarnation) {
			if (!succeeds(incarnation, peer, nowMillis)) {
				return DigestVerdict.OLD_INCARNATION;
			}
			restart(peer, incarnation, from, nowMillis);
		}
		else if (!peer.address().equals(from)) {
			return DigestVerdict.FOREIGN_ADDRESS;
		}
		else if (sequence <= peer.sequence()) {
			return DigestVerdict.OUT_OF_ORDER;
		}
		onHeard(peer, sequence, nowMillis);
		return DigestVerdict.ACCEPTED;
	}

	/**
	 * Records processes that the list names.
	 * @param listings the processes
	 * @param complete whether the list names no others
	 * @param nowMillis present time
	 */
	public void onListed(Collection<PeerListing> listings, boolean complete, long nowMillis) {
		if (complete) {
			this.peers.values().forEach((peer) -> peer.setListed(false));
		}
		for (PeerListing listing : listings) {
			onListed(listing, nowMillis);
		}
	}

	/**
	 * Records that the list doesn't name a process any more.
	 * @param processId id of the process
	 */
	public void onUnlisted(String processId) {
		Peer peer = this.peers.get(processId);
		if (peer != null) {
			peer.setListed(false);
		}
	}

	/**
	 * Restarts the times of silence, since this process did not run for a while.
	 * @param nowMillis present time
	 */
	public void onPause(long nowMillis) {
		this.peers.values().forEach((peer) -> peer.excuse(nowMillis));
	}

	/**
	 * Applies the passing of time.
	 * @param nowMillis present time
	 */
	public void advance(long nowMillis) {
		Iterator<Peer> iterator = this.peers.values().iterator();
		while (iterator.hasNext()) {
			Peer peer = iterator.next();
			if (peer.expire(EXPIRY_MILLIS, nowMillis)) {
				this.changed = true;
				this.listener.onExpired(peer.processId());
			}
			this.changed |= peer.fallSilent(SILENCE_MILLIS, nowMillis);
			if (!peer.isListed() && peer.unheardMillis(nowMillis) >= FORGET_MILLIS) {
				iterator.remove();
				this.ring.remove(peer);
				this.changed = true;
			}
		}
	}

	/**
	 * Returns the peers that get the digest of a round.
	 * @param round number of the round
	 * @param nowMillis present time
	 * @return their addresses
	 */
	public List<InetSocketAddress> targets(long round, long nowMillis) {
		List<InetSocketAddress> addresses = new ArrayList<>();
		for (Peer peer : this.ring.select(round, nowMillis)) {
			addresses.add(peer.address());
		}
		return addresses;
	}

	/**
	 * Tells whether the sets of peers changed since the last acknowledgement.
	 * @return whether they changed
	 */
	public boolean isChanged() {
		return this.changed;
	}

	/**
	 * Acknowledges the changes so far.
	 */
	public void acknowledgeChanges() {
		this.changed = false;
	}

	/**
	 * Returns the peers whose digests arrive.
	 * @return their ids
	 */
	public Set<String> heardIds() {
		Set<String> ids = new HashSet<>();
		this.peers.values().stream().filter(Peer::isHeard).forEach((peer) -> ids.add(peer.processId()));
		return Collections.unmodifiableSet(ids);
	}

	/**
	 * Returns the processes of the deployment. Silent ones are left out, since they have
	 * ended or are cut off.
	 * @return their ids, that of this process included
	 */
	public Set<String> memberIds() {
		Set<String> ids = new HashSet<>();
		ids.add(this.ownId);
		this.peers.values().stream().filter((peer) -> !peer.isSilent()).forEach((peer) -> ids.add(peer.processId()));
		return Collections.unmodifiableSet(ids);
	}

	/**
	 * Tells whether another incarnation of a peer takes the place of the known one. The
	 * clock of its VM may have been set back before its start, so that an apparently
	 * older one does so too once nothing is heard of the other.
	 * @param incarnation the other incarnation
	 * @param peer the peer
	 * @param nowMillis present time
	 * @return whether it does
	 */
	private static boolean succeeds(long incarnation, Peer peer, long nowMillis) {
		return incarnation > peer.incarnation() || peer.unheardMillis(nowMillis) >= SILENCE_MILLIS;
	}

	private void onListed(PeerListing listing, long nowMillis) {
		if (listing.processId().equals(this.ownId)) {
			return;
		}
		Peer peer = this.peers.get(listing.processId());
		if (peer == null) {
			if (this.peers.size() >= MAX_PEERS) {
				return;
			}
			peer = add(new Peer(listing.processId(), listing.incarnation(), listing.address(), nowMillis));
		}
		else if (listing.incarnation() > peer.incarnation()) {
			restart(peer, listing.incarnation(), listing.address(), nowMillis);
		}
		peer.setListed(true);
	}

	private Peer add(Peer peer) {
		this.peers.put(peer.processId(), peer);
		this.ring.add(peer);
		this.changed = true;
		return peer;
	}

	private void restart(Peer peer, long incarnation, InetSocketAddress address, long nowMillis) {
		peer.restart(incarnation, address, nowMillis);
		this.changed = true;
		this.listener.onRestarted(peer.processId(), incarnation, address);
	}

	private void onHeard(Peer peer, long sequence, long nowMillis) {
		if (!peer.isHeard()) {
			this.listener.onJoined(peer.processId(), peer.incarnation(), peer.address());
		}
		this.changed |= !peer.isHeard() || peer.isSilent();
		peer.onHeard(sequence, nowMillis);
	}

}
