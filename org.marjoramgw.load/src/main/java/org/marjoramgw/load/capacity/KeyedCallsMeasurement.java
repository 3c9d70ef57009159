package org.marjoramgw.load.capacity;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.marjoramgw.config.ServiceKind;
import org.marjoramgw.errors.HttpCallException;
import org.marjoramgw.rig.Deployment;
import org.marjoramgw.rig.RigException;
import org.marjoramgw.rig.StandinProcess;
import org.marjoramgw.wire.BackendCall;
import org.marjoramgw.wire.Message;

/**
 * Measures the log appends of a side process as a function of the rate of calls with an
 * idempotency key, and its memory usage as a function of the number of keys that it
 * holds.
 *
 * @author The marjoramgw authors
 */
final class KeyedCallsMeasurement implements Measurement {

	private static final int[] CALLS_PER_SECOND = { 25, 50, 100, 200, 400 };

	private static final long SECONDS_PER_RATE = 4;

	private static final long NANOS_PER_SECOND = 1_000_000_000;

	private static final long DRAIN_MILLIS = 1_500;

	private static final long DEADLINE_MILLIS = 30_000;

	private final MeasurementContext context;

	private final ObjectMapper mapper = new ObjectMapper();

	private final AtomicLong endedCount = new AtomicLong();

	private final AtomicLong refusedCount = new AtomicLong();

	private long sentCount;

	KeyedCallsMeasurement(MeasurementContext run) {
		this.context = run;
	}

	@Override
	public String title() {
		return "Keyed calls at one side process: appends to the log, and memory for the keys remembered";
	}

	@Override
	public String measure() throws IOException, RigException, InterruptedException {
		PointTable rates = new PointTable("keyed calls/s", "appends/s", "answers %");
		PointTable memory = new PointTable("keys remembered", "live heap KB", "RSS MB");
		try (Deployment deployment = this.context.startSide(ServiceKind.PLAIN);
				FakeEntries entries = new FakeEntries(this.context.newTransport(),
						deployment.side(MeasurementContext.SIDE_ID).address("peer"), this.context.newTrafficCounter(),
						this::onMessage)) {
			ProcessMeter meter = new ProcessMeter(deployment.side(MeasurementContext.SIDE_ID).pid());
			entries.growTo(1);
			Thread.sleep(DRAIN_MILLIS);
			memory.add(0, meter.liveHeapBytes() / 1024.0,
					meter.sample().residentBytes() / ResourceUsage.BYTES_PER_MEGABYTE);
			for (int rate : CALLS_PER_SECOND) {
				JsonNode before = readLogControl(deployment);
				long endedBefore = this.endedCount.get();
				sendCalls(entries.first(), rate);
				JsonNode after = readLogControl(deployment);
				double seconds = SECONDS_PER_RATE;
				rates.add(rate, (totalAppends(after) - totalAppends(before)) / seconds,
						100.0 * (this.endedCount.get() - endedBefore) / (rate * seconds));
				memory.add(this.endedCount.get(), meter.liveHeapBytes() / 1024.0,
						meter.sample().residentBytes() / ResourceUsage.BYTES_PER_MEGABYTE);
			}
		}
		return rates + "\n" + memory;
	}

	private void sendCalls(FakePeerConnection connection, int rate) throws InterruptedException {
		long startNanos = System.nanoTime();
		for (long index = 0; index < rate * SECONDS_PER_RATE; index++) {
			LockSupport.parkNanos(startNanos + index * NANOS_PER_SECOND / rate - System.nanoTime());
			connection.send(new Message.Reserve("keyed-" + this.sentCount++, 1, CapacityConfiguration.SERVICE, "",
					CapacityConfiguration.REQUEST_CLASS, CapacityConfiguration.ACCOUNT, DEADLINE_MILLIS,
					DEADLINE_MILLIS, 0));
		}
		Thread.sleep(DRAIN_MILLIS);
	}

	private void onMessage(FakePeerConnection connection, Message message) {
		if (message instanceof Message.Grant grant) {
			byte[] body = ("{\"order\":\"" + grant.requestId() + "\"}").getBytes(StandardCharsets.UTF_8);
			connection.send(new Message.Run(grant.requestId(), grant.attempt(), new BackendCall("POST", "/orders",
					"application/json", body, "", false, UUID.randomUUID().toString())));
		}
		else if (message instanceof Message.End end) {
			this.endedCount.incrementAndGet();
			connection.send(new Message.Ack(end.requestId(), end.attempt(), end.chunkCount() + 1));
		}
		else if (message instanceof Message.Refusal refusal) {
			if (this.refusedCount.incrementAndGet() == 1) {
				System.err.println("first refused call with an idempotency key: " + refusal.code());
			}
		}
	}

	private JsonNode readLogControl(Deployment deployment) throws RigException, IOException {
		try {
			String uri = "http://" + deployment.standins().address(StandinProcess.LOG) + "/control";
			return this.mapper.readTree(this.context.newHttpClient().get(uri).body());
		}
		catch (HttpCallException ex) {
			throw new RigException("log stand-in did not respond", ex);
		}
	}

	private static long totalAppends(JsonNode logControl) {
		long total = 0;
		for (JsonNode count : logControl.path("append_counts")) {
			total += count.asLong();
		}
		return total;
	}

}
