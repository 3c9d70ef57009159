package org.marjoramgw.direct.duty;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicLong;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests {@link ElapsedClock}.
 *
 * @author The marjoramgw authors
 */
public class ElapsedClockTests {

	private final AtomicLong monotonic = new AtomicLong(1_000);

	@Test
	public void suspendedTimeIsCounted() throws IOException {
		Path uptime = Files.createTempFile("uptime", "");
		try {
			Files.writeString(uptime, "100.50 3.00\n");
			ElapsedClock clock = new ElapsedClock(this.monotonic::get, uptime);
			long start = clock.nowMillis();
			this.monotonic.addAndGet(200);
			Files.writeString(uptime, "110.50 3.00\n");
			Assert.assertEquals(clock.nowMillis() - start, 10_000);
			Files.writeString(uptime, "105.50 3.00\n");
			Assert.assertEquals(clock.nowMillis() - start, 10_000);
		}
		finally {
			Files.delete(uptime);
		}
	}

	@Test
	public void monotonicClockIsEnoughWithoutTheUptime() {
		ElapsedClock clock = new ElapsedClock(this.monotonic::get, Path.of("/nonexistent/uptime"));
		long start = clock.nowMillis();
		this.monotonic.addAndGet(700);
		Assert.assertEquals(clock.nowMillis() - start, 700);
	}

}
