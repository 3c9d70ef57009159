package org.marjoramgw.policy.fleet;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;

/**
 * Load of the backend servers as the peers last reported it. The sums are kept, so that a
 * look-up doesn't depend on the number of peers. Not thread-safe.
 *
 * @author The marjoramgw authors
 */
final class PeerLoads {

	/**
	 * Age at which the load of a row no longer counts. A row with load is repeated every
	 * two seconds, so that the end of an older one was lost.
	 */
	private static final long MAX_LOAD_AGE_MILLIS = 6_000;

	/** Age at which a row is dropped, and with it its counts. */
	private static final long MAX_ROW_AGE_MILLIS = 600_000;

	private static final long PRUNE_INTERVAL_MILLIS = 250;

	private static final int MAX_ROWS = 2_048;

	/**
	 * Number of peers heard from which on the sum is scaled to all members. With fewer of
	 * them the links are at fault, and a single peer must not stand for many.
	 */
	private static final int MIN_SCALED_PEERS = 8;

	private final Map<String, PeerRows> peerById = new HashMap<>();

	private final Map<Integer, Sum> sumByServer = new HashMap<>();

	private final RowListener listener;

	private int memberCount = 1;

	private long prunedMillis;

	PeerLoads(RowListener listener) {
		this.listener = listener;
	}

	/**
	 * Applies a digest.
	 * @param digest the digest
	 * @param nowMillis current time, in milliseconds
	 * @return whether it is new
	 */
	boolean onDigest(Digest digest, long nowMillis) {
		PeerRows peer = this.peerById.get(digest.processId());
		if (peer != null && (digest.incarnation() < peer.incarnation
				|| digest.incarnation() == peer.incarnation && digest.sequence() <= peer.sequence)) {
			return false;
		}
		if (peer == null || digest.incarnation() != peer.incarnation) {
			if (peer != null) {
				drop(peer);
			}
			peer = new PeerRows(digest.incarnation());
			this.peerById.put(digest.processId(), peer);
		}
		peer.sequence = digest.sequence();
		peer.heardMillis = nowMillis;
		for (ServerReport report : digest.servers()) {
			apply(peer, report, nowMillis);
		}
		return true;
	}

	void onMembers(Set<String> heardIds, int newMemberCount) {
		this.memberCount = newMemberCount;
		this.peerById.entrySet().removeIf((entry) -> {
			boolean gone = !heardIds.contains(entry.getKey());
			if (gone) {
				drop(entry.getValue());
			}
			return gone;
		});
	}

	/**
	 * Returns the load of all peers at a server.
	 * @param serverKey key of the server
	 * @param nowMillis current time, in milliseconds
	 * @return the load
	 */
	ServerLoad load(int serverKey, long nowMillis) {
		prune(nowMillis);
		Sum sum = this.sumByServer.get(serverKey);
		if (sum == null) {
			return ServerLoad.NONE;
		}
		double scale = scale();
		return new ServerLoad(scale * sum.unreadTokens, scale * sum.requestCount);
	}

	private double scale() {
		int heardCount = this.peerById.size();
		return (heardCount >= MIN_SCALED_PEERS) ? Math.max(1, (this.memberCount - 1.0) / heardCount) : 1;
	}

	private void apply(PeerRows peer, ServerReport report, long nowMillis) {
		Row row = peer.rowByServer.get(report.serverKey());
		if (row == null) {
			if (peer.rowByServer.size() >= MAX_ROWS) {
				return;
			}
			row = new Row();
			peer.rowByServer.put(report.serverKey(), row);
		}
		Sum sum = this.sumByServer.computeIfAbsent(report.serverKey(), (key) -> new Sum());
		ServerReport previous = row.report;
		if (previous != null) {
			sum.add(previous, -1);
			this.listener.onChange(previous, report);
		}
		else {
			// Most counts of the first row may be of long ago.
			this.listener.onChange(new ServerReport(report.serverKey(), 0, 0, Math.max(0, report.timelyCount() - 1),
					Math.max(0, report.lateCount() - 1), 0, 0), report);
		}
		sum.add(report, 1);
		row.report = report;
		row.heardMillis = nowMillis;
	}

	private void prune(long nowMillis) {
		if (nowMillis - this.prunedMillis < PRUNE_INTERVAL_MILLIS) {
			return;
		}
		this.prunedMillis = nowMillis;
		this.peerById.values().removeIf((peer) -> {
			boolean silent = nowMillis - peer.heardMillis > PeerMembership.EXPIRY_MILLIS;
			if (silent) {
				drop(peer);
			}
			else {
				dropOldRows(peer, nowMillis);
			}
			return silent;
		});
		this.sumByServer.values().removeIf((sum) -> sum.rowCount == 0);
	}

	private void dropOldRows(PeerRows peer, long nowMillis) {
		for (Iterator<Row> rows = peer.rowByServer.values().iterator(); rows.hasNext();) {
			Row row = rows.next();
			long ageMillis = nowMillis - row.heardMillis;
			if (ageMillis > MAX_LOAD_AGE_MILLIS) {
				Sum sum = this.sumByServer.get(row.report.serverKey());
				sum.add(row.report, -1);
				if (ageMillis > MAX_ROW_AGE_MILLIS) {
					rows.remove();
				}
				else {
					row.report = row.report.withoutLoad();
					sum.add(row.report, 1);
				}
			}
		}
	}

	private void drop(PeerRows peer) {
		peer.rowByServer.values().forEach((row) -> this.sumByServer.get(row.report.serverKey()).add(row.report, -1));
	}

	/**
	 * Receiver of changed rows.
	 */
	@FunctionalInterface
	interface RowListener {

		/**
		 * Called when a peer reports on a server.
		 * @param previous what it reported before
		 * @param report what it reports now
		 */
		void onChange(ServerReport previous, ServerReport report);

	}

	/** Rows of one peer. */
	private static final class PeerRows {

		private final long incarnation;

		private final Map<Integer, Row> rowByServer = new HashMap<>();

		private long sequence;

		private long heardMillis;

		private PeerRows(long incarnation) {
			this.incarnation = incarnation;
		}

	}

	/** Row of one peer on one server. */
	private static final class Row {

		private ServerReport report;

		private long heardMillis;

	}

	/** Sum of the rows on one server. */
	private static final class Sum {

		private long unreadTokens;

		private long requestCount;

		private int rowCount;

		private void add(ServerReport report, int sign) {
			this.unreadTokens += (long) sign * report.unreadTokens();
			this.requestCount += (long) sign * (report.runningCount() + ((report.unreadTokens() > 0) ? 1 : 0));
			this.rowCount += sign;
		}

	}

}
