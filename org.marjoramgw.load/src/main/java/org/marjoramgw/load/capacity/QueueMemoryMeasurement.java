package org.marjoramgw.load.capacity;

import java.io.IOException;

import org.marjoramgw.config.ServiceKind;
import org.marjoramgw.rig.Deployment;
import org.marjoramgw.rig.RigException;
import org.marjoramgw.wire.Message;

/**
 * Memory of a side process against the reservations in its queue.
 *
 * @author The marjoramgw authors
 */
final class QueueMemoryMeasurement implements Measurement {

	private static final int[] RESERVATION_COUNTS = { 0, 2_000, 4_000, 8_000 };

	private static final long LONG_MILLIS = 590_000;

	private static final long SETTLE_MILLIS = 2_000;

	private static final int BURST_COUNT = 500;

	private static final long BURST_PAUSE_MILLIS = 50;

	private final CapacityRun run;

	QueueMemoryMeasurement(CapacityRun run) {
		this.run = run;
	}

	@Override
	public String title() {
		return "Memory of a side process against the reservations in its queue";
	}

	@Override
	public String measure() throws IOException, RigException, InterruptedException {
		PointTable table = new PointTable("reservations", "live heap KB", "RSS MB");
		try (Deployment deployment = this.run.startSide(ServiceKind.MODEL);
				FakeEntries entries = new FakeEntries(this.run.transport(),
						deployment.side(CapacityRun.SIDE).address("peer"), this.run.newCount(), (link, message) -> {
						})) {
			ProcessMeter meter = new ProcessMeter(deployment.side(CapacityRun.SIDE).pid());
			entries.grow(1);
			int sent = 0;
			for (int reservations : RESERVATION_COUNTS) {
				for (; sent < reservations; sent++) {
					reserve(entries.first(), sent);
				}
				Thread.sleep(SETTLE_MILLIS);
				double residentMegabytes = meter.sample().residentBytes() / Window.MEGABYTE;
				table.add(reservations, meter.liveHeapBytes() / 1024.0, residentMegabytes);
			}
		}
		return table.toString();
	}

	private static void reserve(FakeLink link, int number) throws InterruptedException {
		link.send(new Message.Reserve("00000000-0000-0000-0000-%012d".formatted(number), 1, "chat", CapacityText.MODEL,
				CapacityText.CLASS, CapacityText.ACCOUNT, LONG_MILLIS, LONG_MILLIS, 100));
		if (number % BURST_COUNT == 0) {
			Thread.sleep(BURST_PAUSE_MILLIS);
		}
	}

}
