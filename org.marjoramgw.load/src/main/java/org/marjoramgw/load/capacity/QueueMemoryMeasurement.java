package org.marjoramgw.load.capacity;

import java.io.IOException;

import org.marjoramgw.config.ServiceKind;
import org.marjoramgw.rig.Deployment;
import org.marjoramgw.rig.RigException;
import org.marjoramgw.wire.Message;

/**
 * Measures the memory usage of a side process as a function of the number of reservations
 * in its queue.
 *
 * @author The marjoramgw authors
 */
final class QueueMemoryMeasurement implements Measurement {

	private static final int[] RESERVATION_COUNTS = { 0, 2_000, 4_000, 8_000 };

	private static final long DEADLINE_MILLIS = 590_000;

	private static final long SETTLE_MILLIS = 2_000;

	private static final int BURST_SIZE = 500;

	private static final long BURST_PAUSE_MILLIS = 50;

	private final MeasurementContext context;

	QueueMemoryMeasurement(MeasurementContext run) {
		this.context = run;
	}

	@Override
	public String title() {
		return "Memory of a side process against the reservations in its queue";
	}

	@Override
	public String measure() throws IOException, RigException, InterruptedException {
		PointTable table = new PointTable("reservations", "live heap KB", "RSS MB");
		try (Deployment deployment = this.context.startSide(ServiceKind.MODEL);
				FakeEntries entries = new FakeEntries(this.context.newTransport(),
						deployment.side(MeasurementContext.SIDE_ID).address("peer"), this.context.newTrafficCounter(),
						(connection, message) -> {
						})) {
			ProcessMeter meter = new ProcessMeter(deployment.side(MeasurementContext.SIDE_ID).pid());
			entries.growTo(1);
			int sentCount = 0;
			for (int reservationCount : RESERVATION_COUNTS) {
				for (; sentCount < reservationCount; sentCount++) {
					reserve(entries.first(), sentCount);
				}
				Thread.sleep(SETTLE_MILLIS);
				double residentMegabytes = meter.sample().residentBytes() / ResourceUsage.BYTES_PER_MEGABYTE;
				table.add(reservationCount, meter.liveHeapBytes() / 1024.0, residentMegabytes);
			}
		}
		return table.toString();
	}

	private static void reserve(FakePeerConnection connection, int number) throws InterruptedException {
		connection.send(new Message.Reserve("00000000-0000-0000-0000-%012d".formatted(number), 1, "chat",
				CapacityConfiguration.MODEL, CapacityConfiguration.REQUEST_CLASS, CapacityConfiguration.ACCOUNT,
				DEADLINE_MILLIS, DEADLINE_MILLIS, 100));
		if (number % BURST_SIZE == 0) {
			Thread.sleep(BURST_PAUSE_MILLIS);
		}
	}

}
