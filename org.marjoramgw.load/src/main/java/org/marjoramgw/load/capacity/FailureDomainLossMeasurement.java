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
 * Measures failed and slow calls at an entry when all side processes of its own failure
 * domain stop responding at the same time, without closing their connections.
 *
 * @author The marjoramgw authors
 */
final class FailureDomainLossMeasurement implements Measurement {

	private static final int[] PEER_COUNTS = { 12, 24, 48 };

	private static final int CALLS_PER_SECOND = 50;

	private static final int WARM_UP_CALL_COUNT = 400;

	private static final int CALL_COUNT = 300;

	private static final int CALLS_BEFORE_LOSS = 50;

	private static final long NANOS_PER_SECOND = 1_000_000_000;

	private static final double NANOS_PER_MILLI = 1e6;

	private static final double SLOW_CALL_MILLIS = 100;

	private final MeasurementContext context;

	FailureDomainLossMeasurement(MeasurementContext run) {
		this.context = run;
	}

	@Override
	public String title() {
		return "A third of an entry's side processes, all of its own failure domain, go silent at once at 50 calls/s";
	}

	@Override
	public String measure() throws IOException, RigException, InterruptedException {
		PointTable table = new PointTable("side processes", "vanished", "calls failed of 250", "calls over 100 ms",
				"longest call ms", "last slow call ms after the loss");
		for (int peerCount : PEER_COUNTS) {
			table.add(runTrial(peerCount));
		}
		return table.toString();
	}

	private double[] runTrial(int peerCount) throws RigException, InterruptedException {
		try (Deployment deployment = this.context.startEntry(peerCount);
				FakeSides sides = new FakeSides(this.context.newTransport(), this.context.newTrafficCounter())) {
			sides.growTo(peerCount, List.of(MeasurementContext.FAILURE_DOMAIN, "dal-b", "dal-c"), deployment);
			Await.until(() -> sides.openCount() == peerCount, "connections");
			HostPort entry = deployment.entry(MeasurementContext.ENTRY_ID).address("http");
			RequestClient caller = new RequestClient(this.context.system(), 30_000);
			awaitCalls(sendCalls(caller, entry, WARM_UP_CALL_COUNT, -1, sides));
			List<TimedCall> calls = awaitCalls(sendCalls(caller, entry, CALL_COUNT, CALLS_BEFORE_LOSS, sides));
			List<TimedCall> callsAfterLoss = calls.subList(CALLS_BEFORE_LOSS, CALL_COUNT);
			double[] slowCallEndMillis = callsAfterLoss.stream()
				.filter((call) -> call.millis > SLOW_CALL_MILLIS)
				.mapToDouble(TimedCall::endMillis)
				.toArray();
			double lastSlowCallEndMillis = (slowCallEndMillis.length == 0) ? 0
					: Arrays.stream(slowCallEndMillis).max().orElse(0);
			return new double[] { peerCount, peerCount / 3,
					callsAfterLoss.stream().filter((call) -> !call.complete).count(), slowCallEndMillis.length,
					callsAfterLoss.stream().mapToDouble(TimedCall::millis).max().orElse(0), lastSlowCallEndMillis };
		}
	}

	private List<CompletableFuture<TimedCall>> sendCalls(RequestClient caller, HostPort entry, int callCount,
			int lossIndex, FakeSides sides) {
		List<CompletableFuture<TimedCall>> sent = new ArrayList<>();
		long startNanos = System.nanoTime();
		long lossNanos = startNanos + Math.max(lossIndex, 0) * NANOS_PER_SECOND / CALLS_PER_SECOND;
		for (int index = 0; index < callCount; index++) {
			LockSupport.parkNanos(startNanos + index * NANOS_PER_SECOND / CALLS_PER_SECOND - System.nanoTime());
			if (index == lossIndex) {
				sides.silence(MeasurementContext.FAILURE_DOMAIN);
			}
			sent.add(sendCall(caller, entry, lossNanos));
		}
		return sent;
	}

	private CompletableFuture<TimedCall> sendCall(RequestClient caller, HostPort entry, long lossNanos) {
		long startNanos = System.nanoTime();
		ChatCall request = new ChatCall(entry, CapacityConfiguration.API_KEY, CapacityConfiguration.REQUEST_CLASS,
				CapacityConfiguration.MODEL, "hello", false);
		return caller.chat(request, (token) -> {
		}).thenApply((response) -> {
			long endNanos = System.nanoTime();
			return new TimedCall(response.complete(), (endNanos - startNanos) / NANOS_PER_MILLI,
					(endNanos - lossNanos) / NANOS_PER_MILLI);
		}).toCompletableFuture();
	}

	private static List<TimedCall> awaitCalls(List<CompletableFuture<TimedCall>> calls) {
		return calls.stream().map(CompletableFuture::join).toList();
	}

	private record TimedCall(boolean complete, double millis, double endMillis) {
	}

}
