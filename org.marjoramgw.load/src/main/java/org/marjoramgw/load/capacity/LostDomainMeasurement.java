package org.marjoramgw.load.capacity;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.LockSupport;

import org.marjoramgw.HostPort;
import org.marjoramgw.rig.ChatCall;
import org.marjoramgw.rig.Deployment;
import org.marjoramgw.rig.RequestClient;
import org.marjoramgw.rig.RigException;

/**
 * What callers see of an entry whose own failure domain's side processes vanish at once
 * and without a close.
 *
 * @author The marjoramgw authors
 */
final class LostDomainMeasurement implements Measurement {

	private static final int[] PEER_COUNTS = { 12, 24, 48 };

	private static final int CALLS_PER_SECOND = 50;

	private static final int WARM_UP_CALLS = 400;

	private static final int CALLS = 300;

	private static final int CALLS_BEFORE = 50;

	private static final long NANOS_PER_SECOND = 1_000_000_000;

	private static final double NANOS_PER_MILLI = 1e6;

	private static final double SLOW_MILLIS = 100;

	private final CapacityRun run;

	LostDomainMeasurement(CapacityRun run) {
		this.run = run;
	}

	@Override
	public String title() {
		return "A third of an entry's side processes, all of its own failure domain, go silent at once at 50 calls/s";
	}

	@Override
	public String measure() throws IOException, RigException, InterruptedException {
		PointTable table = new PointTable("side processes", "vanished", "calls failed of 250", "calls over 100 ms",
				"longest call ms", "last slow call ms after the loss");
		for (int peers : PEER_COUNTS) {
			table.add(trial(peers));
		}
		return table.toString();
	}

	private double[] trial(int peers) throws RigException, InterruptedException {
		try (Deployment deployment = this.run.startEntry(peers);
				FakeSides sides = new FakeSides(this.run.transport(), this.run.newCount())) {
			sides.grow(peers, List.of(CapacityRun.DOMAIN, "dal-b", "dal-c"), deployment);
			Waiting.until(() -> sides.openCount() == peers, "connections");
			HostPort entry = deployment.entry(CapacityRun.ENTRY).address("http");
			RequestClient caller = new RequestClient(this.run.system(), 30_000);
			join(send(caller, entry, WARM_UP_CALLS, -1, sides));
			List<Call> calls = join(send(caller, entry, CALLS, CALLS_BEFORE, sides));
			List<Call> after = calls.subList(CALLS_BEFORE, CALLS);
			double[] slow = after.stream()
				.filter((call) -> call.millis > SLOW_MILLIS)
				.mapToDouble(Call::endMillis)
				.toArray();
			double last = (slow.length == 0) ? 0 : Arrays.stream(slow).max().orElse(0);
			return new double[] { peers, peers / 3, after.stream().filter((call) -> !call.complete).count(),
					slow.length, after.stream().mapToDouble(Call::millis).max().orElse(0), last };
		}
	}

	private List<CompletableFuture<Call>> send(RequestClient caller, HostPort entry, int calls, int vanishAt,
			FakeSides sides) {
		List<CompletableFuture<Call>> sent = new ArrayList<>();
		long startNanos = System.nanoTime();
		long lossNanos = startNanos + Math.max(vanishAt, 0) * NANOS_PER_SECOND / CALLS_PER_SECOND;
		for (int index = 0; index < calls; index++) {
			LockSupport.parkNanos(startNanos + index * NANOS_PER_SECOND / CALLS_PER_SECOND - System.nanoTime());
			if (index == vanishAt) {
				sides.vanish(CapacityRun.DOMAIN);
			}
			sent.add(call(caller, entry, lossNanos));
		}
		return sent;
	}

	private CompletableFuture<Call> call(RequestClient caller, HostPort entry, long lossNanos) {
		long startNanos = System.nanoTime();
		ChatCall chat = new ChatCall(entry, CapacityText.KEY, CapacityText.CLASS, CapacityText.MODEL, "hello", false);
		return caller.chat(chat, (token) -> {
		}).thenApply((answer) -> {
			long endNanos = System.nanoTime();
			return new Call(answer.complete(), (endNanos - startNanos) / NANOS_PER_MILLI,
					(endNanos - lossNanos) / NANOS_PER_MILLI);
		}).toCompletableFuture();
	}

	private static List<Call> join(List<CompletableFuture<Call>> calls) {
		return calls.stream().map(CompletableFuture::join).toList();
	}

	private record Call(boolean complete, double millis, double endMillis) {
	}

}
