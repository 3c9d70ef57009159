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
 * Appends of a side process against the keyed calls that it runs, and its memory against
 * the keys that it remembers.
 *
 * @author The marjoramgw authors
 */
final class KeyedCallsMeasurement implements Measurement {

	private static final int[] CALLS_PER_SECOND = { 25, 50, 100, 200, 400 };

	private static final long SECONDS = 4;

	private static final long NANOS_PER_SECOND = 1_000_000_000;

	private static final long DRAIN_MILLIS = 1_500;

	private static final long DEADLINE_MILLIS = 30_000;

	private final CapacityRun run;

	private final ObjectMapper mapper = new ObjectMapper();

	private final AtomicLong ended = new AtomicLong();

	private final AtomicLong refused = new AtomicLong();

	private long sent;

	KeyedCallsMeasurement(CapacityRun run) {
		this.run = run;
	}

	@Override
	public String title() {
		return "Keyed calls at one side process: appends to the log, and memory for the keys remembered";
	}

	@Override
	public String measure() throws IOException, RigException, InterruptedException {
		PointTable rates = new PointTable("keyed calls/s", "appends/s", "answers %");
		PointTable memory = new PointTable("keys remembered", "live heap KB", "RSS MB");
		try (Deployment deployment = this.run.startSide(ServiceKind.PLAIN);
				FakeEntries entries = new FakeEntries(this.run.transport(),
						deployment.side(CapacityRun.SIDE).address("peer"), this.run.newCount(), this::onMessage)) {
			ProcessMeter meter = new ProcessMeter(deployment.side(CapacityRun.SIDE).pid());
			entries.grow(1);
			Thread.sleep(DRAIN_MILLIS);
			memory.add(0, meter.liveHeapBytes() / 1024.0, meter.sample().residentBytes() / Window.MEGABYTE);
			for (int rate : CALLS_PER_SECOND) {
				JsonNode before = log(deployment);
				long endedBefore = this.ended.get();
				send(entries.first(), rate);
				JsonNode after = log(deployment);
				double seconds = SECONDS;
				rates.add(rate, (appends(after) - appends(before)) / seconds,
						100.0 * (this.ended.get() - endedBefore) / (rate * seconds));
				memory.add(this.ended.get(), meter.liveHeapBytes() / 1024.0,
						meter.sample().residentBytes() / Window.MEGABYTE);
			}
		}
		return rates + "\n" + memory;
	}

	private void send(FakeLink link, int rate) throws InterruptedException {
		long startNanos = System.nanoTime();
		for (long index = 0; index < rate * SECONDS; index++) {
			LockSupport.parkNanos(startNanos + index * NANOS_PER_SECOND / rate - System.nanoTime());
			link.send(new Message.Reserve("keyed-" + this.sent++, 1, CapacityText.SERVICE, "", CapacityText.CLASS,
					CapacityText.ACCOUNT, DEADLINE_MILLIS, DEADLINE_MILLIS, 0));
		}
		Thread.sleep(DRAIN_MILLIS);
	}

	private void onMessage(FakeLink link, Message message) {
		if (message instanceof Message.Grant grant) {
			byte[] body = ("{\"order\":\"" + grant.requestId() + "\"}").getBytes(StandardCharsets.UTF_8);
			link.send(new Message.Run(grant.requestId(), grant.attempt(), new BackendCall("POST", "/orders",
					"application/json", body, "", false, UUID.randomUUID().toString())));
		}
		else if (message instanceof Message.End end) {
			this.ended.incrementAndGet();
			link.send(new Message.Ack(end.requestId(), end.attempt(), end.chunkCount() + 1));
		}
		else if (message instanceof Message.Refusal refusal) {
			if (this.refused.incrementAndGet() == 1) {
				System.err.println("first refusal of a keyed call: " + refusal.code());
			}
		}
	}

	private JsonNode log(Deployment deployment) throws RigException, IOException {
		try {
			String uri = "http://" + deployment.standins().address(StandinProcess.LOG) + "/control";
			return this.mapper.readTree(this.run.http().get(uri).body());
		}
		catch (HttpCallException ex) {
			throw new RigException("log stand-in doesn't answer", ex);
		}
	}

	private static long appends(JsonNode control) {
		long sum = 0;
		for (JsonNode count : control.path("append_counts")) {
			sum += count.asLong();
		}
		return sum;
	}

}
