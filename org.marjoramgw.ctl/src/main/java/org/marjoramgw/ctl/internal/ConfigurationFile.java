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
 * Configuration text in a file of the operator.
 *
 * @author The marjoramgw authors
 */
public final class ConfigurationFile {

	private final Path path;

	/**
	 * Creates a reference to a file; nothing is read yet.
	 * @param path the file
	 */
	public ConfigurationFile(Path path) {
		this.path = path;
	}

	/**
	 * Reads the text without a check.
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
	 * Reads the text and checks it.
	 * @return the text, free of mistakes
	 * @throws InvalidTomlException if the file can't be read or has mistakes
	 */
	public String readValidated() throws InvalidTomlException {
		String text = read();
		new ConfigurationParser().parse(this.path.toString(), 0, text);
		return text;
	}

}
