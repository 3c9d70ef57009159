package org.marjoramgw.load.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.marjoramgw.load.experiment.Variant;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests the order of the variants in a series.
 *
 * @author The marjoramgw authors
 */
public class SeriesRunnerTests {

	@Test
	public void eachSeedStartsWithADifferentVariant() {
		List<Variant> variants = List.of(new Variant("a", Map.of()), new Variant("b", Map.of()),
				new Variant("c", Map.of()));
		List<String> orders = new ArrayList<>();
		for (int seed = 1; seed <= 4; seed++) {
			List<String> names = SeriesRunner.rotate(variants, seed).stream().map(Variant::name).toList();
			orders.add(String.join("", names));
		}
		Assert.assertEquals(orders, List.of("abc", "bca", "cab", "abc"));
	}

}
