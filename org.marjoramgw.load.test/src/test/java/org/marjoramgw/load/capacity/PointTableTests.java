package org.marjoramgw.load.capacity;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests {@link PointTable} and {@link LinearFit}.
 *
 * @author The marjoramgw authors
 */
public class PointTableTests {

	@Test
	public void fitsStraightLineToEachColumn() {
		PointTable table = new PointTable("peers", "bytes", "flat");
		table.add(8, 26, 5);
		table.add(16, 42, 5);
		table.add(32, 74, 5);
		Assert.assertEquals(table.fit(1).slope(), 2, 1e-9);
		Assert.assertEquals(table.fit(1).intercept(), 10, 1e-9);
		Assert.assertEquals(table.fit(2).slope(), 0, 1e-9);
		Assert.assertEquals(table.toString(), """
				| peers | bytes | flat |
				|---|---|---|
				| 8 | 26 | 5 |
				| 16 | 42 | 5 |
				| 32 | 74 | 5 |
				| slope | 2 each | 0 each |
				| at zero | 10 | 5 |
				""");
	}

}
