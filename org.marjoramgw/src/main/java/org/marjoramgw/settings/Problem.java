package org.marjoramgw.settings;

import org.marjoramgw.ResultCode;

/**
 * One mistake in a TOML text.
 *
 * @param code the numbered kind of mistake
 * @param file name of the file
 * @param line line number from 1, or 0 if not known
 * @param key dotted key
 * @param expected what was expected, for people
 * @author The marjoramgw authors
 */
public record Problem(ResultCode code, String file, int line, String key, String expected) {

	@Override
	public String toString() {
		return "E" + this.code.number() + " " + this.file + ":" + this.line + ": " + this.key + ": " + this.code.text()
				+ "; expected " + this.expected;
	}

}
