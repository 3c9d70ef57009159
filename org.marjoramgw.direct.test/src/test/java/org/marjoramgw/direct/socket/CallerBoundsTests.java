package org.marjoramgw.direct.socket;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests {@link CallerBounds}.
 *
 * @author The marjoramgw authors
 */
public class CallerBoundsTests {

	private static final long MEMORY_BYTES = 28L << 20;

	/**
	 * Guards against a bound by the limit of the operating system where the deployment
	 * has a higher one, which closed idle connections from some 120 on.
	 */
	@Test
	public void configuredDescriptorsGoBeforeThoseOfTheOperatingSystem() {
		Assert.assertEquals(CallerBounds.ofProcess(MEMORY_BYTES, 0, 4_100).maxSockets(), 3_011);
		Assert.assertEquals(CallerBounds.ofProcess(MEMORY_BYTES, 0, 1_000_000).maxSockets(), 749_936);
	}

	@Test
	public void configuredConnectionsGoBeforeDescriptors() {
		Assert.assertEquals(CallerBounds.ofProcess(MEMORY_BYTES, 500, 4_100).maxSockets(), 500);
	}

	@Test
	public void someConnectionsAreAllowedWithHardlyAnyDescriptors() {
		Assert.assertEquals(CallerBounds.ofProcess(MEMORY_BYTES, 0, 10).maxSockets(), 16);
	}

}
