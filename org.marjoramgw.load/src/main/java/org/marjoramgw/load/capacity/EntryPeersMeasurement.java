package org.marjoramgw.load.capacity;

import java.io.IOException;
import java.util.List;

import org.marjoramgw.rig.Deployment;
import org.marjoramgw.rig.RigException;

/**
 * What an idle entry spends on control against the number of its side processes.
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
		TrafficCounter count = this.context.newTrafficCounter();
		PointTable table = new PointTable("side processes", "messages/s", "peer bytes/s", "all bytes/s", "CPU %",
				"RSS MB");
		int most = this.peerCounts[this.peerCounts.length - 1];
		try (Deployment deployment = this.context.startEntry(most);
				FakeSides sides = new FakeSides(this.context.newTransport(), count)) {
			ProcessMeter meter = new ProcessMeter(deployment.entry(MeasurementContext.ENTRY_ID).pid());
			sides.growTo(1, FAILURE_DOMAINS, deployment);
			Thread.sleep(WARM_UP_MILLIS);
			for (int peers : this.peerCounts) {
				sides.growTo(peers, FAILURE_DOMAINS, deployment);
				Await.until(() -> sides.openCount() == peers, "connections to " + peers + " side processes");
				Thread.sleep(SETTLE_MILLIS);
				ResourceUsage window = ResourceUsage.measure(meter, count, this.windowMillis);
				table.add(peers, window.messagesPerSecond(), window.peerBytesPerSecond(), window.ioBytesPerSecond(),
						window.cpuPercent(), window.residentMegabytes());
			}
		}
		return table.toString();
	}

}
