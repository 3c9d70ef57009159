package org.marjoramgw.load.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.UUID;

import com.codahale.metrics.MetricRegistry;
import com.google.common.hash.Hashing;
import org.marjoramgw.HostPort;
import org.marjoramgw.MillisClock;
import org.marjoramgw.SystemMillisClock;
import org.marjoramgw.claim.ClaimDecision;
import org.marjoramgw.claim.ClaimKey;
import org.marjoramgw.claim.ClaimPartitions;
import org.marjoramgw.claim.ClaimSettings;
import org.marjoramgw.claim.LogClaimStore;
import org.marjoramgw.claim.ProcessIncarnation;
import org.marjoramgw.claim.internal.ClaimRecord;
import org.marjoramgw.claim.internal.ClaimRecordCodec;
import org.marjoramgw.claim.internal.TruncatedSha256;
import org.marjoramgw.errors.CodedException;
import org.marjoramgw.log.HttpLogService;
import org.marjoramgw.log.LogService;
import org.marjoramgw.metrics.ResultCounters;
import org.marjoramgw.rig.RigException;
import org.marjoramgw.standin.StandinSystem;
import org.marjoramgw.standin.log.LogSettings;
import org.marjoramgw.standin.log.LogStandin;

/**
 * Measures the size of a claim partition on the log, and the time that a restarted side
 * process needs to read the partition before it accepts the first call with a key in it.
 *
 * @author The marjoramgw authors
 */
final class ClaimRecoveryMeasurement implements Measurement {

	private static final int[] KEY_COUNTS = { 1_000, 2_000, 4_000, 8_000 };

	private static final int KEYS_PER_BATCH = 50;

	private static final long CLAIM_WAIT_MILLIS = 60_000;

	private static final long HOUR_MILLIS = 3_600_000;

	private static final String RESPONSE_BODY = "{\"order\":\"0123456789\",\"state\":\"booked\"}";

	private static final String REQUEST_DIGEST = Hashing.sha256().hashInt(1).toString();

	private final MeasurementContext context;

	private final MillisClock clock = new SystemMillisClock();

	private final ClaimRecordCodec codec = new ClaimRecordCodec();

	ClaimRecoveryMeasurement(MeasurementContext run) {
		this.context = run;
	}

	@Override
	public String title() {
		return "Claim partition on the log: size, and time to read it back after a restart";
	}

	@Override
	public String measure() throws RigException {
		PointTable table = new PointTable("keys in the partition", "KB on the log", "ms until the first claim is won");
		// Warm-up run, not measured.
		measure(KEY_COUNTS[0]);
		for (int keyCount : KEY_COUNTS) {
			table.add(measure(keyCount));
		}
		return table.toString();
	}

	private double[] measure(int keyCount) throws RigException {
		try (StandinSystem standins = new StandinSystem();
				LogStandin standin = LogStandin.start(standins,
						new LogSettings(new HostPort("127.0.0.1", 0), 1_000_000, 1_000_000, 1_000_000, HOUR_MILLIS))) {
			LogService log = new HttpLogService(this.context.newHttpClient(), "http://" + standin.address());
			long bytes = appendClaims(log, keyCount);
			return new double[] { keyCount, bytes / 1024.0, measureRecoveryMillis(log) };
		}
		catch (CodedException ex) {
			throw new RigException("can't append claims", ex);
		}
	}

	private long appendClaims(LogService log, int keyCount) throws CodedException {
		long bytes = 0;
		for (int first = 0; first < keyCount; first += KEYS_PER_BATCH) {
			List<String> batch = new ArrayList<>();
			for (int number = first; number < first + KEYS_PER_BATCH; number++) {
				addClaimAndResult(batch, number);
			}
			bytes += batch.stream().mapToLong(String::length).sum();
			log.append(ClaimPartitions.streamOf(0), batch);
		}
		return bytes;
	}

	private void addClaimAndResult(List<String> batch, int number) {
		String claimId = "order-runner-1:" + this.clock.nowMillis() + ":" + number;
		String key = TruncatedSha256.of("account", UUID.randomUUID().toString()).toString();
		batch
			.add(this.codec.encode(new ClaimRecord.Claim(claimId, key, TruncatedSha256.parse(REQUEST_DIGEST).toString(),
					"order-runner-1", this.clock.nowMillis(), UUID.randomUUID().toString())));
		batch
			.add(this.codec.encode(new ClaimRecord.Result(claimId, key, 201, "application/json", true, RESPONSE_BODY)));
	}

	private long measureRecoveryMillis(LogService log) throws RigException {
		ClaimSettings defaults = ClaimSettings.of(1);
		ClaimSettings settings = new ClaimSettings(1, defaults.windowMillis(), CLAIM_WAIT_MILLIS,
				defaults.appendIntervalMillis(), defaults.maxKeys(), defaults.maxResultBytes());
		long startMillis = this.clock.nowMillis();
		try (LogClaimStore store = new LogClaimStore(log, settings, new ProcessIncarnation("side-2", startMillis),
				this.clock, new ResultCounters(new MetricRegistry()))) {
			ClaimKey key = new ClaimKey("account", UUID.randomUUID().toString(), REQUEST_DIGEST, "first");
			ClaimDecision decision = store.claim(key).toCompletableFuture().join();
			if (!(decision instanceof ClaimDecision.Won)) {
				throw new RigException("first claim was not won: " + decision, null);
			}
			return this.clock.nowMillis() - startMillis;
		}
	}

}
