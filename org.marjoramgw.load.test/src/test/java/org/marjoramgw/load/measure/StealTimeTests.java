package org.marjoramgw.load.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests the share of steal time, also with statistics that are incomplete or missing.
 *
 * @author The marjoramgw authors
 */
public class StealTimeTests {

	@DataProvider
	public Object[][] statistics() {
		return new Object[][] { { "cpu  10 0 10 60 0 0 0 20 5 5\ncpu0 1 1 1 1", 20.0 },
				{ "cpu  10 0 10 80 0 0 0 0 0 0", 0.0 }, { "cpu  10 0 10 80", -1.0 }, { "", -1.0 } };
	}

	@Test(dataProvider = "statistics")
	public void computesShareSinceCreation(String text, double percent) throws IOException {
		Path file = Files.createTempFile("stat", "");
		Files.writeString(file, "cpu  0 0 0 0 0 0 0 0 0 0\n");
		StealTime stealTime = new StealTime(file);
		Files.writeString(file, text);
		Assert.assertEquals(stealTime.percentSinceCreation(), percent);
		Files.delete(file);
		Assert.assertEquals(stealTime.percentSinceCreation(), -1.0);
	}

}
