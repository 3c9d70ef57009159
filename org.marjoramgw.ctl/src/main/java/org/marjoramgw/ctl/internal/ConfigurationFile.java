package org.marjoramgw.ctl.internal;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.marjoramgw.ResultCode;
import org.marjoramgw.config.ConfigurationParser;
import org.marjoramgw.errors.InvalidTomlException;
import org.marjoramgw.settings.Problem;

/**
 * File with a configuration text.
 *
 * @author The marjoramgw authors
 */
public final class ConfigurationFile {

	private final Path path;

	/**
	 * Creates a reference to a file, without reading it.
	 * @param path the file
	 */
	public ConfigurationFile(Path path) {
		this.path = path;
	}

	/**
	 * Reads the text without validating it.
	 * @return the text
	 * @throws InvalidTomlException if the file can't be read
	 */
	public String read() throws InvalidTomlException {
		try {
			return Files.readString(this.path);
		}
		catch (IOException ex) {
			throw new InvalidTomlException(List
				.of(new Problem(ResultCode.FILE_UNREADABLE, this.path.toString(), 0, "", "a readable UTF-8 file")));
		}
	}

	/**
	 * Reads and validates the text.
	 * @return the valid text
	 * @throws InvalidTomlException if the file can't be read or is invalid
	 */
	public String readValidated() throws InvalidTomlException {
		String text = read();
		new ConfigurationParser().parse(this.path.toString(), 0, text);
		return text;
	}

}
