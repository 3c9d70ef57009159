package org.marjoramgw.docs;

import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests that the classes that docs/DEVELOPING.md names exist.
 *
 * @author The marjoramgw authors
 */
public class DevelopingPageTests {

	private static final Pattern CLASS_NAME = Pattern.compile("`([A-Z][a-z]\\w+)`");

	@Test
	public void everyNamedClassExists() {
		Set<String> classes = Repository.mainSources()
			.stream()
			.map((file) -> file.getFileName().toString().replace(".java", ""))
			.collect(Collectors.toSet());
		String page = Repository.read(Repository.page("DEVELOPING.md"));
		Set<String> named = CLASS_NAME.matcher(page).results().map((name) -> name.group(1)).collect(Collectors.toSet());
		Assert.assertTrue(named.contains("RequestActor"), named.toString());
		named.removeAll(classes);
		named.remove("AutoCloseable");
		Assert.assertEquals(named, Set.of());
	}

}
