package org.marjoramgw.config.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.marjoramgw.ManualMillisClock;
import org.marjoramgw.errors.LogAnswerLostException;
import org.marjoramgw.errors.LogUnavailableException;
import org.marjoramgw.log.LogRecord;
import org.marjoramgw.log.MemoryLog;
import org.marjoramgw.testkit.TestSeed;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Randomized test of {@link ConfigurationState} and {@link ConfigurationLogReader}.
 * Checks that every reader, also after expired records and checkpoints, agrees with a
 * reference that reads the whole log.
 *
 * @author The marjoramgw authors
 */
public class ConfigurationStateTests {

	private static final int CASES = 200;

	private static final int STEPS = 120;

	private static final int MAX_READERS = 6;

	private final ConfigurationRecordCodec codec = new ConfigurationRecordCodec();

	@Test
	public void everyReaderAgreesWithTheReference() throws LogUnavailableException, LogAnswerLostException {
		for (int number = 0; number < CASES; number++) {
			new Sequence(number).run();
		}
	}

	/**
	 * One random sequence of appends, expired records and readers that start late or lag
	 * behind.
	 */
	private final class Sequence {

		private final String message;

		private final Random random;

		private final MemoryLog log = new MemoryLog(new ManualMillisClock(0));

		private final List<ConfigurationState> states = new ArrayList<>();

		private final List<ConfigurationLogReader> readers = new ArrayList<>();

		private final List<Long> seen = new ArrayList<>();

		private final List<String> appended = new ArrayList<>();

		Sequence(int number) {
			this.message = "seed " + TestSeed.value() + " case " + number;
			this.random = TestSeed.random(number);
			addReader();
		}

		void run() throws LogUnavailableException, LogAnswerLostException {
			for (int step = 0; step < STEPS; step++) {
				step();
			}
		}

		private void step() throws LogUnavailableException, LogAnswerLostException {
			switch (this.random.nextInt(9)) {
				case 0, 1, 2 -> append(publish());
				case 3 -> append(
						this.appended.isEmpty() ? "{" : this.appended.get(this.random.nextInt(this.appended.size())));
				case 4 -> checkpointAndExpire();
				case 5 -> addReader();
				case 6 ->
					takeFromPeer(this.random.nextInt(this.readers.size()), this.random.nextInt(this.readers.size()));
				default -> read(this.random.nextInt(this.readers.size()));
			}
		}

		private String publish() {
			long base = Math.max(0, reference().size() - this.random.nextInt(2));
			String text = "t" + this.random.nextInt();
			String digest = ConfigurationRecordCodec.sha256((this.random.nextInt(8) == 0) ? "other" : text);
			return ConfigurationStateTests.this.codec
				.encode(new ConfigurationRecord.Publish("id" + this.random.nextInt(), base, digest, text, "operator"));
		}

		private void append(String record) throws LogUnavailableException, LogAnswerLostException {
			this.appended.add(record);
			this.log.append(ConfigurationRecordCodec.STREAM, List.of(record));
		}

		private void checkpointAndExpire() throws LogUnavailableException, LogAnswerLostException {
			int reader = this.random.nextInt(this.readers.size());
			read(reader);
			ConfigurationState state = this.states.get(reader);
			if (state.accepted().isPresent()) {
				ConfigurationRecord checkpoint = new ConfigurationRecord.Checkpoint(state.nextOffset(),
						state.accepted().get());
				// Other processes may append between the read and the checkpoint of one.
				for (int others = this.random.nextInt(3); others > 0; others--) {
					append(publish());
				}
				append(ConfigurationStateTests.this.codec.encode(checkpoint));
				this.log.retain(ConfigurationRecordCodec.STREAM, 1 + this.random.nextInt(6));
			}
		}

		private void addReader() {
			if (this.readers.size() < MAX_READERS) {
				ConfigurationState state = new ConfigurationState(ConfigurationStateTests.this.codec);
				this.states.add(state);
				this.readers.add(new ConfigurationLogReader(this.log, ConfigurationStateTests.this.codec, state));
				this.seen.add(0L);
			}
		}

		private void takeFromPeer(int index, int peer) {
			ConfigurationState ahead = this.states.get(peer);
			if (ahead.accepted().isPresent()) {
				this.states.get(index).advanceTo(ahead.accepted().get(), ahead.nextOffset());
				check(index);
			}
		}

		private void read(int index) throws LogUnavailableException {
			boolean complete = this.readers.get(index).catchUp((record) -> check(index));
			if (complete) {
				Assert.assertEquals(this.states.get(index).revision(), reference().size(), this.message);
			}
			check(index);
		}

		private void check(int index) {
			ConfigurationState state = this.states.get(index);
			Assert.assertTrue(state.revision() >= this.seen.get(index), this.message);
			this.seen.set(index, state.revision());
			if (state.revision() > 0) {
				String expected = reference().get((int) state.revision() - 1);
				Assert.assertEquals(state.accepted().get().text(), expected, this.message);
			}
		}

		/**
		 * Computes the accepted texts from the whole log, as if no record ever expired.
		 */
		private List<String> reference() {
			List<String> texts = new ArrayList<>();
			for (LogRecord record : this.log.all(ConfigurationRecordCodec.STREAM)) {
				ConfigurationRecord decoded = ConfigurationStateTests.this.codec.decode(record.data()).orElse(null);
				if (decoded instanceof ConfigurationRecord.Publish publish && publish.baseRevision() == texts.size()
						&& ConfigurationRecordCodec.sha256(publish.text()).equals(publish.sha256())) {
					texts.add(publish.text());
				}
			}
			return texts;
		}

	}

}
