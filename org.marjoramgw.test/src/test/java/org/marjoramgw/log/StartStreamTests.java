package org.marjoramgw.log;

import java.util.List;

import org.marjoramgw.ManualMillisClock;
import org.marjoramgw.errors.LogUnavailableException;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests {@link StartStream}.
 *
 * @author The marjoramgw authors
 */
public class StartStreamTests {

	@Test
	public void newestIncarnationIsThatAtTheEndOfTheStream() throws Exception {
		MemoryLog log = new MemoryLog(new ManualMillisClock(10_000));
		new StartStream(log).register(new StartRecord("entry-1", 1));
		new StartStream(log).register(new StartRecord("entry-1", 2));
		Assert.assertEquals(new StartStream(log).newestIncarnation("entry-1").orElseThrow(), 2);
	}

	/**
	 * Guards against an old incarnation that counts as the newest one because a read
	 * ended before the end of the stream.
	 */
	@Test
	public void readThatEndsBeforeTheStreamIsAFailure() throws Exception {
		MemoryLog log = new MemoryLog(new ManualMillisClock(10_000));
		new StartStream(log).register(new StartRecord("entry-1", 1));
		StartStream starts = new StartStream(new EmptyReadLog(log));
		Assert.assertThrows(LogUnavailableException.class, () -> starts.newestIncarnation("entry-1"));
	}

	/**
	 * Log whose reads return no records although there are some.
	 */
	private static final class EmptyReadLog implements LogService {

		private final LogService log;

		private EmptyReadLog(LogService log) {
			this.log = log;
		}

		@Override
		public long append(String stream, List<String> records) {
			throw new UnsupportedOperationException();
		}

		@Override
		public LogSlice read(String stream, long fromOffset, int maxRecords) throws LogUnavailableException {
			LogSlice slice = this.log.read(stream, fromOffset, maxRecords);
			return new LogSlice(slice.firstOffset(), slice.nextOffset(), List.of());
		}

	}

}
