package org.marjoramgw.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import org.marjoramgw.ResultCode;
import org.marjoramgw.errors.InvalidTomlException;

/**
 * Parsed TOML document and the errors found in it.
 *
 * @author The marjoramgw authors
 */
final class TomlDocument {

	private static final TomlMapper MAPPER = new TomlMapper();

	private final String file;

	private final JsonNode root;

	private final KeyLineNumbers lines;

	private final List<Problem> problems = new ArrayList<>();

	private TomlDocument(String file, JsonNode root, KeyLineNumbers lines) {
		this.file = file;
		this.root = root;
		this.lines = lines;
	}

	static TomlDocument ofFile(Path path) throws InvalidTomlException {
		try {
			return ofText(path.toString(), Files.readString(path));
		}
		catch (IOException ex) {
			throw new InvalidTomlException(
					List.of(new Problem(ResultCode.FILE_UNREADABLE, path.toString(), 0, "", "a readable UTF-8 file")));
		}
	}

	static TomlDocument ofText(String file, String text) throws InvalidTomlException {
		try {
			return new TomlDocument(file, MAPPER.readTree(text), new KeyLineNumbers(text));
		}
		catch (JsonProcessingException ex) {
			int line = (ex.getLocation() != null) ? ex.getLocation().getLineNr() : 0;
			throw new InvalidTomlException(
					List.of(new Problem(ResultCode.NOT_TOML, file, line, "", "TOML: " + ex.getOriginalMessage())));
		}
		catch (RuntimeException ex) {
			throw new InvalidTomlException(
					List.of(new Problem(ResultCode.NOT_TOML, file, 0, "", "TOML: " + ex.getMessage())));
		}
	}

	String file() {
		return this.file;
	}

	JsonNode root() {
		return this.root;
	}

	/**
	 * Records an error.
	 * @param code result code of the error
	 * @param key dotted key from the root of the document
	 * @param expected human-readable description of what was expected
	 */
	void addProblem(ResultCode code, String key, String expected) {
		this.problems.add(new Problem(code, this.file, this.lines.lineOf(key), key, expected));
	}

	/**
	 * Reports all recorded errors.
	 * @throws InvalidTomlException if there are any
	 */
	void throwIfInvalid() throws InvalidTomlException {
		if (!this.problems.isEmpty()) {
			throw new InvalidTomlException(this.problems);
		}
	}

}
