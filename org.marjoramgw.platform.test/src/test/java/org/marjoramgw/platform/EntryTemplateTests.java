package org.marjoramgw.platform;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.marjoramgw.direct.DirectSettings;
import org.marjoramgw.errors.InvalidTomlException;
import org.marjoramgw.settings.TomlTable;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that the settings template yields readable settings whatever numbers the platform
 * supplies.
 *
 * @author The marjoramgw authors
 */
public class EntryTemplateTests {

	private static final Pattern SECTION = Pattern.compile("\\{\\{#([a-zA-Z0-9.]+)\\}\\}(.*?)\\{\\{/\\1\\}\\}");

	private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([a-zA-Z0-9.]+)\\}\\}");

	private static final List<String> BOUNDS = List.of("bounds.graceS", "bounds.revokeMs", "bounds.retryBudgetRatio",
			"bounds.budgetWindowS", "bounds.budgetMinRetries", "bounds.usageWindowS", "bounds.usageLateS",
			"bounds.leaseMs");

	private static final Map<String, String> FIELDS = Map.of("node", "edge-a-1", "zone", "a", "listen.front",
			"127.0.0.1:8001", "listen.ready", "127.0.0.1:8002", "ip", "127.0.0.1", "platform.address",
			"127.0.0.1:8003");

	@DataProvider
	public Object[][] numbers() {
		return new Object[][] { { "0" }, { "-1" }, { "0.5" }, { "88.3333" }, { "1e+30" }, { "-1e+30" }, { "1e-30" },
				{ "9223372036854775808" } };
	}

	@Test(dataProvider = "numbers")
	public void anyNumberIsAcceptedForEachBound(String number) throws Exception {
		for (String bound : BOUNDS) {
			read(Map.of(bound, number));
		}
		Map<String, String> all = new HashMap<>();
		BOUNDS.forEach((bound) -> all.put(bound, number));
		read(all);
	}

	@Test
	public void absentBoundsHaveDefaults() throws Exception {
		Assert.assertEquals(read(Map.of()).retryWindowMillis(), 10_000);
	}

	@Test
	public void fractionsAreRoundedTowardsFewerRetriesAndEarlierRevocation() throws Exception {
		DirectSettings settings = read(Map.of("bounds.revokeMs", "4999.9", "bounds.budgetWindowS", "10.0004",
				"bounds.budgetMinRetries", "53.9", "bounds.graceS", "7.9999"));
		Assert.assertEquals(settings.revocationMillis(), 4_999);
		Assert.assertEquals(settings.retryWindowMillis(), 10_001);
		Assert.assertEquals(settings.freeRetryCount(), 53);
		Assert.assertEquals(settings.stopGraceMillis(), 7_999);
	}

	@Test
	public void valueThatIsNoNumberIsRefusedByName() throws Exception {
		try {
			read(Map.of("bounds.revokeMs", "true"));
			Assert.fail("accepted");
		}
		catch (InvalidTomlException ex) {
			Assert.assertTrue(ex.getMessage().contains("revocation_ms"), ex.getMessage());
		}
	}

	private static DirectSettings read(Map<String, String> bounds) throws IOException, InvalidTomlException {
		Path root = Path.of(System.getProperty("repository.root", ".."));
		String template = Files.readString(root.resolve("platform/entry.toml.template"));
		Map<String, String> values = new HashMap<>(FIELDS);
		values.putAll(bounds);
		TomlTable table = TomlTable.ofText("entry.toml", render(template, values));
		DirectSettings settings = DirectSettings.of(table);
		table.throwIfInvalid();
		return settings;
	}

	private static String render(String template, Map<String, String> values) {
		String sections = SECTION.matcher(template)
			.replaceAll((section) -> values.containsKey(section.group(1)) ? Matcher.quoteReplacement(section.group(2))
					: "");
		return PLACEHOLDER.matcher(sections)
			.replaceAll((placeholder) -> Matcher.quoteReplacement(values.getOrDefault(placeholder.group(1), "")));
	}

}
