package org.marjoramgw.load.capacity;

import java.io.IOException;

import org.marjoramgw.config.ServiceKind;
import org.marjoramgw.rig.Deployment;
import org.marjoramgw.rig.RigException;

/**
 * What an idle side process spends on control against the number of its entries.
 *
 * @author The marjoramgw authors
 */
final class SidePeersMeasurement implements Measurement {

	private static final long WARM_UP_MILLIS = 45_000;

	private static final long SETTLE_MILLIS = 2_000;

	private final MeasurementContext context;

	private final int[] peerCounts;

	private final long windowMillis;

	SidePeersMeasurement(MeasurementContext run, int[] peerCounts, long windowMillis) {
		this.context = run;
		this.peerCounts = peerCounts;
		this.windowMillis = windowMillis;
	}

	@Override
	public String title() {
		return "Side process against the number of its entries, idle";
	}

	@Override
	public String measure() throws IOException, RigException, InterruptedException {
		TrafficCounter count = this.context.newTrafficCounter();
		PointTable table = new PointTable("entries", "messages/s", "peer bytes/s", "all bytes/s", "CPU %", "RSS MB");
		try (Deployment deployment = this.context.startSide(ServiceKind.MODEL);
				FakeEntries entries = new FakeEntries(this.context.newTransport(),
						deployment.side(MeasurementContext.SIDE_ID).address("peer"), count, (link, message) -> {
						})) {
			ProcessMeter meter = new ProcessMeter(deployment.side(MeasurementContext.SIDE_ID).pid());
			entries.growTo(1);
			Thread.sleep(WARM_UP_MILLIS);
			for (int peers : this.peerCounts) {
				entries.growTo(peers);
				Thread.sleep(SETTLE_MILLIS);
				ResourceUsage window = ResourceUsage.measure(meter, count, this.windowMillis);
				if (entries.openCount() != peers) {
					throw new RigException("connections were lost: " + entries.openCount() + " of " + peers, null);
				}
				table.add(peers, window.messagesPerSecond(), window.peerBytesPerSecond(), window.ioBytesPerSecond(),
						window.cpuPercent(), window.residentMegabytes());
			}
		}
		return table.toString();
	}

}
