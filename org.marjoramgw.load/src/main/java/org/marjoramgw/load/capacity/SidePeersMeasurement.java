package org.marjoramgw.load.capacity;

import java.io.IOException;

import org.marjoramgw.config.ServiceKind;
import org.marjoramgw.rig.Deployment;
import org.marjoramgw.rig.RigException;

/**
 * Measures the resource usage of an idle side process as a function of the number of its
 * entries.
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
		TrafficCounter trafficCounter = this.context.newTrafficCounter();
		PointTable table = new PointTable("entries", "messages/s", "peer bytes/s", "all bytes/s", "CPU %", "RSS MB");
		try (Deployment deployment = this.context.startSide(ServiceKind.MODEL);
				FakeEntries entries = new FakeEntries(this.context.newTransport(),
						deployment.side(MeasurementContext.SIDE_ID).address("peer"), trafficCounter,
						(connection, message) -> {
						})) {
			ProcessMeter meter = new ProcessMeter(deployment.side(MeasurementContext.SIDE_ID).pid());
			entries.growTo(1);
			Thread.sleep(WARM_UP_MILLIS);
			for (int peerCount : this.peerCounts) {
				entries.growTo(peerCount);
				Thread.sleep(SETTLE_MILLIS);
				ResourceUsage usage = ResourceUsage.measure(meter, trafficCounter, this.windowMillis);
				if (entries.openCount() != peerCount) {
					throw new RigException("connections were lost: " + entries.openCount() + " of " + peerCount, null);
				}
				table.add(peerCount, usage.messagesPerSecond(), usage.peerBytesPerSecond(), usage.ioBytesPerSecond(),
						usage.cpuPercent(), usage.residentMegabytes());
			}
		}
		return table.toString();
	}

}
