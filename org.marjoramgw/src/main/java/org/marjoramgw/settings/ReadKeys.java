package org.marjoramgw.settings;

import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;

/**
 * Keys of a TOML table that were read, and thereby are known.
 *
 * @author The marjoramgw authors
 */
final class ReadKeys {

	private static final String[] UNIT_SUFFIXES = { "_ms", "_bytes", "_percent", "_per_second", "_count" };

	private final Set<String> keys = new TreeSet<>();

	void add(String key) {
		this.keys.add(key);
	}

	boolean contains(String key) {
		return this.keys.contains(key);
	}

	/**
	 * Finds the key that was read for a key whose unit is missing.
	 * @param key the key without a unit
	 * @return the key with its unit, or empty if none was read
	 */
	Optional<String> withUnit(String key) {
		return Stream.of(UNIT_SUFFIXES).map((suffix) -> key + suffix).filter(this.keys::contains).findFirst();
	}

	@Override
	public String toString() {
		return this.keys.toString();
	}

}
