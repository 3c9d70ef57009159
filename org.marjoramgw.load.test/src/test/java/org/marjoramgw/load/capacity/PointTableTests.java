package org.marjoramgw.load.capacity;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests {@link PointTable} and {@link Slope}.
 *
 * @author The marjoramgw authors
 */
public class PointTableTests {

	@Test
	public void fitsAStraightLine() {
		PointTable table = new PointTable("peers", "bytes", "flat");
		table.add(8, 26, 5);
		table.add(16, 42, 5);
		table.add(32, 74, 5);
		Assert.assertEquals(table.slope(1).perUnit(), 2, 1e-9);
		Assert.assertEquals(table.slope(1).atZero(), 10, 1e-9);
		Assert.assertEquals(table.slope(2).perUnit(), 0, 1e-9);
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
