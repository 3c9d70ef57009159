package org.marjoramgw.settings;

import org.marjoramgw.ResultCode;

/**
 * An error in a TOML document.
 *
 * @param code result code of the error
 * @param file name of the file
 * @param line line number from 1, or 0 if unknown
 * @param key dotted key
 * @param expected human-readable description of what was expected
 * @author The marjoramgw authors
 */
public record Problem(ResultCode code, String file, int line, String key, String expected) {

	@Override
	public String toString() {
		return "E" + this.code.number() + " " + this.file + ":" + this.line + ": " + this.key + ": " + this.code.text()
				+ "; expected " + this.expected;
	}

}
