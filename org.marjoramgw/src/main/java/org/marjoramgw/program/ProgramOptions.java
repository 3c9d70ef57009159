package org.marjoramgw.program;

import java.nio.file.Path;

import com.beust.jcommander.Parameter;

/**
 * Options that every long-running program takes.
 *
 * @author The marjoramgw authors
 */
public final class ProgramOptions {

	@Parameter(names = "--help", help = true, description = "Print the options and exit")
	private boolean help;

	@Parameter(names = "--version", help = true, description = "Print the version and exit")
	private boolean version;

	@Parameter(names = "--config", description = "Settings file (TOML)")
	private Path config;

	/**
	 * Tells whether help was asked for.
	 * @return whether to print help
	 */
	public boolean help() {
		return this.help;
	}

	/**
	 * Tells whether the version was asked for.
	 * @return whether to print the version
	 */
	public boolean version() {
		return this.version;
	}

	/**
	 * Returns the settings file.
	 * @return the file, or {@code null} if not given
	 */
	public Path config() {
		return this.config;
	}

}
