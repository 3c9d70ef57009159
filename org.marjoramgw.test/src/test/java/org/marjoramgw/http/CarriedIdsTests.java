package org.marjoramgw.http;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests {@link CarriedIds}.
 *
 * @author The marjoramgw authors
 */
public class CarriedIdsTests {

	@Test
	public void eachIdIsCarriedOnce() {
		CarriedIds ids = new CarriedIds();
		for (int id = 0; id < CarriedIds.MAX_COUNT; id++) {
			Assert.assertTrue(ids.mayAdd("id" + id));
			ids.add("id" + id);
			Assert.assertFalse(ids.mayAdd("id" + id));
			Assert.assertFalse(ids.mayAdd("id0"));
		}
		Assert.assertFalse(ids.mayAdd("another"), "the connection is used up");
	}

	@Test
	public void requestsWithoutAnIdAreNotLimited() {
		CarriedIds ids = new CarriedIds();
		for (int count = 0; count <= 2 * CarriedIds.MAX_COUNT; count++) {
			Assert.assertTrue(ids.mayAdd(""));
			ids.add("");
		}
		Assert.assertTrue(ids.mayAdd("r1"));
	}

}
