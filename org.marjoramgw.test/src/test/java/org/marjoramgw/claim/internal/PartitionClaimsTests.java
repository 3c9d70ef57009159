package org.marjoramgw.claim.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import com.codahale.metrics.MetricRegistry;
import com.google.common.hash.Hashing;
import org.marjoramgw.ManualMillisClock;
import org.marjoramgw.ResultCode;
import org.marjoramgw.claim.ClaimDecision;
import org.marjoramgw.claim.ClaimKey;
import org.marjoramgw.claim.ClaimSettings;
import org.marjoramgw.claim.ProcessIncarnation;
import org.marjoramgw.log.MemoryLog;
import org.marjoramgw.log.MemoryLog.AppendFault;
import org.marjoramgw.log.StartStream;
import org.marjoramgw.metrics.ResultCounters;
import org.marjoramgw.testkit.TestSeed;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Randomized test of {@link PartitionClaims} with several processes on one stream, faults
 * of the log service, timeouts and restarts. Checks that at most one claim on a key is
 * granted unless it was released, and that repeated calls get the recorded result.
 *
 * @author The marjoramgw authors
 */
public class PartitionClaimsTests {

	private static final int CASES = 300;

	private static final int STEPS = 200;

	private static final int KEYS = 4;

	private static final int PROCESSES = 3;

	private static final String STREAM = "claims-0";

	private static final ClaimSettings SETTINGS = new ClaimSettings(1, 900_000, 1_000, 1, 1_000, 100);

	@Test
	public void grantsAtMostOneClaimOnAKeyUnlessItWasReleased() {
		int won = 0;
		int repeated = 0;
		for (int number = 0; number < CASES; number++) {
			Sequence sequence = new Sequence(number);
			sequence.run();
			won += sequence.won;
			repeated += sequence.repeated;
		}
		Assert.assertTrue(won > CASES, "too few claims were granted: " + won);
		Assert.assertTrue(repeated > CASES, "too few results were repeated: " + repeated);
	}

	/**
	 * One incarnation of a process. An old incarnation may keep running after the next
	 * one has started, as a process that was paused does.
	 */
	private static final class Claimant {

		private final PartitionClaims claims;

		private final ProcessIncarnation self;

		private final Map<ClaimKey, String> won = new HashMap<>();

		private final List<ClaimAttempt> open = new ArrayList<>();

		Claimant(MemoryLog log, ManualMillisClock clock, String processId, long incarnation) {
			this.self = new ProcessIncarnation(processId, incarnation);
			ClaimConflictResolver conflictResolver = new ClaimConflictResolver(log, new StartStream(log), this.self,
					clock, new ClaimRecordCodec());
			this.claims = new PartitionClaims(STREAM, log, SETTINGS, this.self, conflictResolver, clock,
					new ResultCounters(new MetricRegistry()), this::noteWon);
		}

		private void noteWon(ClaimKey key, String claimId) {
			if (claimId == null) {
				this.won.remove(key);
			}
			else {
				this.won.put(key, claimId);
			}
		}

	}

	/**
	 * One random sequence of operations and faults.
	 */
	private static final class Sequence {

		private final String message;

		private final Random random;

		private final ManualMillisClock clock = new ManualMillisClock(1_000_000);

		private final MemoryLog log = new MemoryLog(this.clock);

		private final List<Claimant> claimants = new ArrayList<>();

		private final Map<String, ClaimKey> winners = new HashMap<>();

		private final Map<String, String> results = new HashMap<>();

		private int requests;

		private int won;

		private int repeated;

		Sequence(int number) {
			this.message = "seed " + TestSeed.value() + " case " + number;
			this.random = TestSeed.random(number);
			for (int process = 0; process < PROCESSES; process++) {
				this.claimants.add(new Claimant(this.log, this.clock, "p" + process, 1));
			}
		}

		void run() {
			for (int step = 0; step < STEPS; step++) {
				this.clock.advanceMillis(this.random.nextInt(100));
				step(this.claimants.get(this.random.nextInt(this.claimants.size())));
			}
		}

		private void step(Claimant claimant) {
			switch (this.random.nextInt(12)) {
				case 0, 1 -> submit(claimant);
				case 2, 3, 4, 5 -> cycle(claimant);
				case 6 -> timeOut(claimant);
				case 7 -> recordResult(claimant);
				case 8 -> release(claimant);
				case 9 -> this.log.failNextAppend(AppendFault.values()[this.random.nextInt(5)]);
				case 10 -> this.log.deliverLate();
				default -> restartOrCutOff(claimant);
			}
		}

		private void submit(Claimant claimant) {
			this.requests++;
			String digest = Hashing.sha256().hashInt(this.random.nextInt(8) / 7).toString();
			ClaimKey key = new ClaimKey("a", "k" + this.random.nextInt(KEYS), digest, "r" + this.requests);
			ClaimAttempt attempt = new ClaimAttempt(key, claimant.self + ":" + this.requests);
			claimant.open.add(attempt);
			claimant.claims.submit(attempt);
		}

		private void cycle(Claimant claimant) {
			claimant.claims.cycle();
			claimant.open.removeIf((attempt) -> {
				if (attempt.decision().isDone()) {
					check(attempt.key(), attempt.decision().join());
				}
				return attempt.decision().isDone();
			});
		}

		private void check(ClaimKey key, ClaimDecision decision) {
			if (decision instanceof ClaimDecision.Won) {
				this.won++;
				ClaimKey previous = this.winners.put(key.key(), key);
				Assert.assertNull(previous, this.message + ": " + key + " was granted after " + previous);
			}
			if (decision instanceof ClaimDecision.Repeated same) {
				this.repeated++;
				Assert.assertEquals(same.result().body(), this.results.get(key.key()), this.message);
				Assert.assertEquals(this.winners.get(key.key()).requestSha256(), key.requestSha256(), this.message);
			}
		}

		private void timeOut(Claimant claimant) {
			for (ClaimAttempt attempt : claimant.open) {
				attempt.decision().complete(new ClaimDecision.Refused(ResultCode.CLAIM_UNAVAILABLE));
			}
			claimant.open.clear();
		}

		private void recordResult(Claimant claimant) {
			if (!claimant.won.isEmpty()) {
				ClaimKey key = claimant.won.keySet().iterator().next();
				String claimId = claimant.won.remove(key);
				this.results.put(key.key(), "body of " + claimId);
				claimant.claims
					.submit(new ClaimRecord.Result(claimId, hash(key), 200, "text/plain", true, "body of " + claimId));
			}
		}

		private void release(Claimant claimant) {
			if (!claimant.won.isEmpty()) {
				ClaimKey key = claimant.won.keySet().iterator().next();
				String claimId = claimant.won.remove(key);
				this.winners.remove(key.key());
				claimant.claims.submit(new ClaimRecord.Release(claimId, hash(key)));
			}
		}

		private void restartOrCutOff(Claimant claimant) {
			if (this.random.nextInt(3) > 0) {
				this.log.setUnavailable(this.random.nextBoolean());
				return;
			}
			Claimant next = new Claimant(this.log, this.clock, claimant.self.processId(), this.requests + 2);
			if (this.random.nextBoolean()) {
				this.claimants.add(next);
			}
			else {
				this.claimants.set(this.claimants.indexOf(claimant), next);
			}
		}

		private static String hash(ClaimKey key) {
			return TruncatedSha256.of(key.account(), key.key()).toString();
		}

	}

}
