package org.marjoramgw.settings;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import org.marjoramgw.HostPort;
import org.marjoramgw.ResultCode;
import org.marjoramgw.errors.InvalidTomlException;
import org.tinylog.Logger;

/**
 * Validating view of a TOML table that collects all errors.
 * <p>
 * Each read names its key, its default and its range. {@link #reportUnknownKeys()} adds
 * the keys that were never read; {@link #throwIfInvalid()} of the root table reports all
 * errors at once.
 *
 * @author The marjoramgw authors
 */
public final class TomlTable {

	private static final HostPort ANY_PORT = new HostPort("127.0.0.1", 0);

	private final TomlDocument document;

	private final String path;

	private final JsonNode node;

	private final ReadKeys readKeys = new ReadKeys();

	private TomlTable(TomlDocument document, String path, JsonNode node) {
		this.document = document;
		this.path = path;
		this.node = node;
	}

	/**
	 * Parses a file.
	 * @param path the file
	 * @return its root table
	 * @throws InvalidTomlException if the file can't be read or is not valid TOML
	 */
	public static TomlTable ofFile(Path path) throws InvalidTomlException {
		return ofDocument(TomlDocument.ofFile(path));
	}

	/**
	 * Parses a text.
	 * @param file file name used in messages
	 * @param text the TOML text
	 * @return its root table
	 * @throws InvalidTomlException if the text is not valid TOML
	 */
	public static TomlTable ofText(String file, String text) throws InvalidTomlException {
		return ofDocument(TomlDocument.ofText(file, text));
	}

	private static TomlTable ofDocument(TomlDocument document) {
		return new TomlTable(document, "", document.root());
	}

	/**
	 * Returns the name of the file.
	 * @return the file name used in messages
	 */
	public String file() {
		return this.document.file();
	}

	/**
	 * Reads a required string.
	 * @param key the key
	 * @return the string, or an empty string if an error was recorded
	 */
	public String text(String key) {
		return require(key, ValueKind.TEXT, "");
	}

	/**
	 * Reads an optional string.
	 * @param key the key
	 * @param defaultValue the value if the key is absent
	 * @return the string
	 */
	public String text(String key, String defaultValue) {
		return read(key, ValueKind.TEXT, defaultValue);
	}

	/**
	 * Reads an optional string that must be one of a set.
	 * @param key the key
	 * @param defaultValue the value if the key is absent
	 * @param allowed the allowed strings
	 * @return the string
	 */
	public String choice(String key, String defaultValue, Set<String> allowed) {
		return read(key, ValueKind.choice(allowed), defaultValue);
	}

	/**
	 * Reads an optional integer within a range.
	 * @param key the key
	 * @param defaultValue the value if the key is absent
	 * @param min the minimum, inclusive
	 * @param max the maximum, inclusive
	 * @return the number
	 */
	public long number(String key, long defaultValue, long min, long max) {
		return read(key, ValueKind.number(min, max), defaultValue);
	}

	/**
	 * Reads a required integer within a range.
	 * @param key the key
	 * @param min the minimum, inclusive
	 * @param max the maximum, inclusive
	 * @return the number, or {@code min} if an error was recorded
	 */
	public long number(String key, long min, long max) {
		return require(key, ValueKind.number(min, max), min);
	}

	/**
	 * Reads an optional integer or floating-point number within a range.
	 * @param key the key
	 * @param defaultValue the value if the key is absent
	 * @param min the minimum, inclusive
	 * @param max the maximum, inclusive
	 * @return the number
	 */
	public double decimal(String key, double defaultValue, double min, double max) {
		return read(key, ValueKind.decimal(min, max), defaultValue);
	}

	/**
	 * Reads an optional number that another system supplies, and moves one that is out of
	 * range to the nearest bound, with a warning in the log. Only a value that is no
	 * number is an error.
	 * @param key the key
	 * @param defaultValue the value if the key is absent
	 * @param min the minimum, inclusive
	 * @param max the maximum, inclusive
	 * @return the number, within the range
	 */
	public double clampedDecimal(String key, double defaultValue, double min, double max) {
		double value = read(key, ValueKind.NUMBER, defaultValue);
		double clamped = Math.min(Math.max(value, min), max);
		if (clamped != value) {
			Logger.warn("{}: {} = {} is out of range, using {}", file(), qualified(key), value, clamped);
		}
		return clamped;
	}

	/**
	 * Reads an optional boolean.
	 * @param key the key
	 * @param defaultValue the value if the key is absent
	 * @return the boolean
	 */
	public boolean flag(String key, boolean defaultValue) {
		return read(key, ValueKind.FLAG, defaultValue);
	}

	/**
	 * Reads a required address.
	 * @param key the key
	 * @return the address, or {@code 127.0.0.1:0} if an error was recorded
	 */
	public HostPort address(String key) {
		return require(key, ValueKind.ADDRESS, ANY_PORT);
	}

	/**
	 * Reads an optional address.
	 * @param key the key
	 * @param defaultValue the value if the key is absent, may be {@code null}
	 * @return the address
	 */
	public HostPort address(String key, HostPort defaultValue) {
		return read(key, ValueKind.ADDRESS, defaultValue);
	}

	/**
	 * Reads an optional array of strings.
	 * @param key the key
	 * @return the strings, empty if the key is absent
	 */
	public List<String> texts(String key) {
		return read(key, ValueKind.TEXTS, List.of());
	}

	/**
	 * Reads an optional table without checking its keys, which are passed on to another
	 * program.
	 * @param key the key
	 * @return the values by key, empty if the key is absent
	 */
	public Map<String, Object> values(String key) {
		return read(key, ValueKind.VALUES, Map.of());
	}

	/**
	 * Reads an optional table.
	 * @param key the key
	 * @return the table, empty if the key is absent
	 */
	public TomlTable table(String key) {
		JsonNode object = read(key, ValueKind.TABLE, JsonNodeFactory.instance.objectNode());
		return new TomlTable(this.document, qualified(key), object);
	}

	/**
	 * Reads a table of named tables, for example {@code [classes.NAME]}.
	 * @param <T> type of the converted tables
	 * @param key the key
	 * @param reader converts one name and table; {@link #reportUnknownKeys()} is called
	 * on the table afterwards
	 * @return the converted tables by name, in the order of the document
	 */
	public <T> Map<String, T> namedTables(String key, BiFunction<String, TomlTable, T> reader) {
		TomlTable parent = table(key);
		Map<String, T> result = new LinkedHashMap<>();
		parent.node.fieldNames().forEachRemaining((name) -> {
			TomlTable child = parent.table(name);
			result.put(name, reader.apply(name, child));
			child.reportUnknownKeys();
		});
		return Collections.unmodifiableMap(result);
	}

	/**
	 * Reads an array of tables, for example {@code [[rules]]}.
	 * @param <T> type of the converted tables
	 * @param key the key
	 * @param reader converts one table; {@link #reportUnknownKeys()} is called on the
	 * table afterwards
	 * @return the converted tables in the order of the document
	 */
	public <T> List<T> tables(String key, Function<TomlTable, T> reader) {
		JsonNode tables = read(key, ValueKind.ARRAY, JsonNodeFactory.instance.arrayNode());
		List<T> result = new ArrayList<>();
		for (int index = 0; index < tables.size(); index++) {
			String name = qualified(key) + "[" + index + "]";
			TomlTable child = new TomlTable(this.document, name, tables.get(index));
			result.add(reader.apply(child));
			child.reportUnknownKeys();
		}
		return List.copyOf(result);
	}

	/**
	 * Records an error that the caller found, such as a reference to an undeclared name.
	 * @param code result code of the error
	 * @param key key within this table
	 * @param expected human-readable description of what was expected
	 */
	public void addProblem(ResultCode code, String key, String expected) {
		this.document.addProblem(code, qualified(key), expected);
	}

	/**
	 * Records an error for each key that was never read.
	 */
	public void reportUnknownKeys() {
		this.node.fieldNames().forEachRemaining((key) -> {
			if (!this.readKeys.contains(key)) {
				addUnknownKey(key);
			}
		});
	}

	/**
	 * Reports all errors of the document, with the unknown keys of this table.
	 * @throws InvalidTomlException if there are any
	 */
	public void throwIfInvalid() throws InvalidTomlException {
		reportUnknownKeys();
		this.document.throwIfInvalid();
	}

	private void addUnknownKey(String key) {
		Optional<String> keyWithUnit = this.readKeys.withUnit(key);
		if (keyWithUnit.isPresent()) {
			addProblem(ResultCode.MISSING_UNIT, key, "the key " + keyWithUnit.get());
		}
		else {
			addProblem(ResultCode.UNKNOWN_KEY, key, "one of " + this.readKeys);
		}
	}

	private <T> T require(String key, ValueKind<T> kind, T replacement) {
		if (!this.node.has(key)) {
			addProblem(ResultCode.MISSING_KEY, key, kind.expected());
		}
		return read(key, kind, replacement);
	}

	private <T> T read(String key, ValueKind<T> kind, T defaultValue) {
		this.readKeys.add(key);
		JsonNode value = this.node.get(key);
		if (value == null) {
			return defaultValue;
		}
		Optional<T> converted = kind.convert(value);
		if (converted.isEmpty()) {
			addProblem(kind.errorCode(), key, kind.expected());
		}
		return converted.orElse(defaultValue);
	}

	private String qualified(String key) {
		return this.path.isEmpty() ? key : this.path + "." + key;
	}

}
