package org.marjoramgw.load.capacity;

import java.io.IOException;
import java.util.List;

import org.marjoramgw.rig.Deployment;
import org.marjoramgw.rig.RigException;

/**
 * Measures the resource usage of an idle entry as a function of the number of its side
 * processes.
 *
 * @author The marjoramgw authors
 */
final class EntryPeersMeasurement implements Measurement {

	private static final long WARM_UP_MILLIS = 30_000;

	private static final long SETTLE_MILLIS = 3_000;

	private static final List<String> FAILURE_DOMAINS = List.of(MeasurementContext.FAILURE_DOMAIN, "dal-b", "dal-c");

	private final MeasurementContext context;

	private final int[] peerCounts;

	private final long windowMillis;

	EntryPeersMeasurement(MeasurementContext run, int[] peerCounts, long windowMillis) {
		this.context = run;
		this.peerCounts = peerCounts;
		this.windowMillis = windowMillis;
	}

	@Override
	public String title() {
		return "Entry against the number of its side processes, idle";
	}

	@Override
	public String measure() throws IOException, RigException, InterruptedException {
		TrafficCounter trafficCounter = this.context.newTrafficCounter();
		PointTable table = new PointTable("side processes", "messages/s", "peer bytes/s", "all bytes/s", "CPU %",
				"RSS MB");
		int maxPeerCount = this.peerCounts[this.peerCounts.length - 1];
		try (Deployment deployment = this.context.startEntry(maxPeerCount);
				FakeSides sides = new FakeSides(this.context.newTransport(), trafficCounter)) {
			ProcessMeter meter = new ProcessMeter(deployment.entry(MeasurementContext.ENTRY_ID).pid());
			sides.growTo(1, FAILURE_DOMAINS, deployment);
			Thread.sleep(WARM_UP_MILLIS);
			for (int peerCount : this.peerCounts) {
				sides.growTo(peerCount, FAILURE_DOMAINS, deployment);
				Await.until(() -> sides.openCount() == peerCount, "connections to " + peerCount + " side processes");
				Thread.sleep(SETTLE_MILLIS);
				ResourceUsage usage = ResourceUsage.measure(meter, trafficCounter, this.windowMillis);
				table.add(peerCount, usage.messagesPerSecond(), usage.peerBytesPerSecond(), usage.ioBytesPerSecond(),
						usage.cpuPercent(), usage.residentMegabytes());
			}
		}
		return table.toString();
	}

}
