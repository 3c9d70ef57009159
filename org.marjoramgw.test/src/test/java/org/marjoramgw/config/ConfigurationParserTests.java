package org.marjoramgw.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Random;

import org.marjoramgw.ResultCode;
import org.marjoramgw.errors.InvalidTomlException;
import org.marjoramgw.settings.Problem;
import org.marjoramgw.testkit.TestSeed;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests {@link ConfigurationParser}.
 *
 * @author The marjoramgw authors
 */
public class ConfigurationParserTests {

	private static final int FUZZ_TEXTS = 1_000;

	private static final int MAX_FUZZ_CHARS = 400;

	private static final String CLASS = "[classes.a]\ntier = 1\ncompletion_ms = 10\n";

	private static final String DIGEST = "0123456789abcdef".repeat(4);

	private final ConfigurationParser parser = new ConfigurationParser();

	@DataProvider
	public Object[][] examples() {
		return new Object[][] { { "rogac", 6, 3 }, { "petalbook", 6, 2 } };
	}

	@Test(dataProvider = "examples")
	public void parsesTheExamples(String name, int classes, int services) throws IOException, InvalidTomlException {
		Configuration configuration = this.parser.parse(name, 3, example(name));
		Assert.assertEquals(configuration.revision(), 3);
		Assert.assertEquals(configuration.classes().size(), classes);
		Assert.assertEquals(configuration.services().size(), services);
		Assert.assertEquals(configuration.accounts().size(), 10);
		Assert.assertFalse(configuration.rules().isEmpty());
	}

	@DataProvider
	public Object[][] errors() {
		return new Object[][] { { "", ResultCode.MISSING_KEY, "classes", 0 },
				{ CLASS + "teir = 1\n", ResultCode.UNKNOWN_KEY, "classes.a.teir", 4 },
				{ CLASS + "first_token = 1\n", ResultCode.MISSING_UNIT, "classes.a.first_token", 4 },
				{ "[classes.a]\ntier = 5\ncompletion_ms = 1\n", ResultCode.BAD_VALUE, "classes.a.tier", 2 },
				{ "[classes.a]\ntier = 1\n", ResultCode.MISSING_KEY, "classes.a.completion_ms", 1 },
				{ CLASS + "floor_percent = 60\n[classes.b]\ntier = 1\ncompletion_ms = 1\nfloor_percent = 41\n",
						ResultCode.BAD_VALUE, "classes", 0 },
				{ CLASS + "[[rules]]\npath_prefix = \"/\"\nclass = \"b\"\n", ResultCode.BAD_REFERENCE, "rules[0].class",
						6 },
				{ CLASS + "[[rules]]\naccount = \"x\"\npath_prefix = \"/\"\nclass = \"a\"\n", ResultCode.BAD_REFERENCE,
						"rules[0].account", 5 },
				{ CLASS + "[services.s]\nkind = \"plain\"\npool = \"p\"\ndepends_on = [\"t\"]\n",
						ResultCode.BAD_REFERENCE, "services.s.depends_on", 7 },
				{ CLASS + "[services.s]\nkind = \"plain\"\npool = \"p\"\ndepends_on = [\"s\"]\n",
						ResultCode.BAD_REFERENCE, "services.s.depends_on", 7 },
				{ CLASS + "[services.s]\npool = \"p\"\nmodels = [\"m\", \"m\"]\n", ResultCode.BAD_VALUE,
						"services.s.models", 6 },
				{ CLASS + "[services.s]\nkind = \"plain\"\npool = \"p\"\nnon_repeatable = [\"orders\"]\n",
						ResultCode.BAD_VALUE, "services.s.non_repeatable", 7 },
				{ CLASS + "[accounts.x]\nkey_sha256 = \"abc\"\n", ResultCode.BAD_VALUE, "accounts.x.key_sha256", 5 },
				{ CLASS + "[accounts.x]\nkey_sha256 = \"" + DIGEST + "\"\n[accounts.y]\nkey_sha256 = \"" + DIGEST
						+ "\"\n", ResultCode.BAD_VALUE, "accounts.y.key_sha256", 7 },
				{ CLASS + "[limits]\nslot_count = 2\nmin_slot_count = 3\n", ResultCode.BAD_VALUE,
						"limits.min_slot_count", 6 },
				{ "[classes", ResultCode.NOT_TOML, "", 1 } };
	}

	@Test(dataProvider = "errors")
	public void reportsTheError(String text, ResultCode code, String key, int line) {
		InvalidTomlException ex = Assert.expectThrows(InvalidTomlException.class,
				() -> this.parser.parse("f", 0, text));
		Assert.assertEquals(ex.problems().size(), 1, ex.getMessage());
		Problem problem = ex.problems().get(0);
		Assert.assertEquals(problem.code(), code);
		Assert.assertEquals(problem.key(), key);
		Assert.assertEquals(problem.line(), line);
	}

	@Test
	public void reportsAllErrorsAtOnce() {
		String text = CLASS + "[accounts.x]\nkey_sha256 = \"abc\"\n[limits]\nbody = 1\n[[rules]]\npath_prefix = 3\n";
		InvalidTomlException ex = Assert.expectThrows(InvalidTomlException.class,
				() -> this.parser.parse("f", 0, text));
		Assert.assertEquals(ex.problems().size(), 4, ex.getMessage());
	}

	@Test
	public void rejectsRandomTextsWithACheckedException() {
		Random random = TestSeed.random(1);
		for (int count = 0; count < FUZZ_TEXTS; count++) {
			StringBuilder text = new StringBuilder();
			int length = random.nextInt(MAX_FUZZ_CHARS);
			for (int index = 0; index < length; index++) {
				text.append((char) (random.nextBoolean() ? random.nextInt(128) : random.nextInt(65_536)));
			}
			parseOrRefuse(text.toString());
		}
	}

	@Test
	public void rejectsMutatedTextsWithACheckedException() throws IOException {
		Random random = TestSeed.random(2);
		String example = example("rogac");
		for (int count = 0; count < FUZZ_TEXTS; count++) {
			StringBuilder text = new StringBuilder(example);
			for (int edits = random.nextInt(5); edits >= 0; edits--) {
				mutate(text, random);
			}
			parseOrRefuse(text.toString());
		}
	}

	@DataProvider
	public Object[][] pathologicalTexts() {
		StringBuilder chain = new StringBuilder(CLASS);
		for (int index = 0; index < 3_000; index++) {
			chain.append(
					"[services.s" + index + "]\nkind=\"plain\"\npool=\"p\"\ndepends_on=[\"s" + (index + 1) + "\"]\n");
		}
		return new Object[][] { { "a=" + "[".repeat(100_000) }, { "a=" + "{a=".repeat(50_000) },
				{ "a" + ".a".repeat(100_000) + "=1" }, { "#".repeat(300_000) }, { chain.toString() } };
	}

	@Test(dataProvider = "pathologicalTexts")
	public void rejectsPathologicalTextsWithACheckedException(String text) {
		Assert.assertThrows(InvalidTomlException.class, () -> this.parser.parse("f", 0, text));
	}

	private static void mutate(StringBuilder text, Random random) {
		int start = random.nextInt(text.length());
		int end = Math.min(text.length(), start + random.nextInt(20));
		switch (random.nextInt(3)) {
			case 0 -> text.delete(start, end);
			case 1 -> text.insert(start, text.substring(start, end));
			default -> text.setCharAt(start, "[]{}=\"'#.,\n0-9a".charAt(random.nextInt(15)));
		}
	}

	private void parseOrRefuse(String text) {
		try {
			Assert.assertNotNull(this.parser.parse("fuzz", 0, text));
		}
		catch (InvalidTomlException ex) {
			Assert.assertFalse(ex.problems().isEmpty());
		}
		catch (RuntimeException | StackOverflowError ex) {
			Assert.fail("seed " + TestSeed.value() + ": " + text, ex);
		}
	}

	private static String example(String name) throws IOException {
		Path root = Path.of(System.getProperty("repository.root", ".."));
		return Files.readString(root.resolve("conf/" + name + ".toml"));
	}

}
