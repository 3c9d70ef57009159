package org.marjoramgw.settings;

import java.util.List;
import java.util.Random;
import java.util.Set;

import org.marjoramgw.HostPort;
import org.marjoramgw.errors.InvalidTomlException;
import org.marjoramgw.testkit.TestSeed;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests {@link TomlTable}. For any value of a key, each read method must return a value
 * or record an error instead of throwing an unchecked exception.
 *
 * @author The marjoramgw authors
 */
public class TomlTableTests {

	private static final int CASES = 3_000;

	private static final List<String> VALUES = List.of("1", "-9223372036854775808", "99999999999999999999999", "1.5",
			"inf", "nan", "true", "\"\"", "\"x\"", "\"127.0.0.1:80\"", "\"[::1]:0\"", "\"1.2.3.4:99999\"", "'''\na'''",
			"1979-05-27", "07:32:00", "1979-05-27T07:32:00Z", "[]", "[[]]", "[1, \"a\"]", "[\"a\", \"b\"]", "[{}]",
			"[{a = 1}, 2]", "{}", "{a = 1}", "{a = {b = [1]}}", "{\"\" = 1, \"a.b\" = {c = 2}}");

	@Test
	public void everyReadMethodAcceptsOrReportsAnyValue() {
		Random random = TestSeed.random(1);
		for (int number = 0; number < CASES; number++) {
			String text = "key = " + value(random) + "\nother = " + value(random) + "\n";
			try {
				TomlTable table = TomlTable.ofText("fuzz", text);
				read(table, random.nextInt(10));
				table.throwIfInvalid();
			}
			catch (InvalidTomlException ex) {
				Assert.assertFalse(ex.problems().isEmpty(), text);
			}
			catch (RuntimeException ex) {
				Assert.fail("seed " + TestSeed.value() + " case " + number + ": " + text, ex);
			}
		}
	}

	@Test
	public void reportsAKeyThatWasNotRead() throws InvalidTomlException {
		TomlTable table = TomlTable.ofText("file", "a = 1\nb = 2\n");
		Assert.assertEquals(table.number("a", 0, 0, 9), 1);
		InvalidTomlException ex = Assert.expectThrows(InvalidTomlException.class, table::throwIfInvalid);
		Assert.assertEquals(ex.problems().stream().map(Problem::key).toList(), List.of("b"));
		Assert.assertEquals(ex.problems().get(0).line(), 2);
	}

	private static String value(Random random) {
		String value = VALUES.get(random.nextInt(VALUES.size()));
		return switch (random.nextInt(4)) {
			case 0 -> "[" + value + "]";
			case 1 -> "{ \"n\" = " + value + " }";
			default -> value;
		};
	}

	private static void read(TomlTable table, int choice) {
		Object read = switch (choice) {
			case 0 -> table.text("key");
			case 1 -> table.choice("key", "a", Set.of("a", "b"));
			case 2 -> table.number("key", 5, 1, 9);
			case 3 -> table.number("key", 1, 9);
			case 4 -> table.flag("key", true);
			case 5 -> table.address("key");
			case 6 -> table.address("key", new HostPort("127.0.0.1", 0));
			case 7 -> table.values("key");
			case 8 -> table.namedTables("key", (name, inner) -> inner.texts("a"));
			default -> table.tables("key", (inner) -> inner.text("a", "") + inner.table("b").texts("c"));
		};
		Assert.assertNotNull(read);
		Assert.assertNotNull(table.texts("other"));
	}

}
