package org.marjoramgw.direct;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;

import org.marjoramgw.errors.InvalidTomlException;
import org.marjoramgw.settings.TomlTable;
import org.tinylog.Logger;

/**
 * Settings that are read again when their file changes; thread-safe.
 * <p>
 * Addresses and names stay as they were at the start; limits and times change at once. A
 * file with mistakes changes nothing.
 *
 * @author The marjoramgw authors
 */
public final class SettingsFile {

	private final Path path;

	private volatile DirectSettings current;

	private FileTime lastModified;

	/**
	 * Takes the settings of a file.
	 * @param root root table of the file
	 * @throws InvalidTomlException if the settings have mistakes
	 */
	public SettingsFile(TomlTable root) throws InvalidTomlException {
		this.path = Path.of(root.file());
		this.lastModified = modificationTime();
		this.current = DirectSettings.of(root);
		root.throwIfInvalid();
	}

	/**
	 * Returns the settings in force.
	 * @return the settings
	 */
	public DirectSettings get() {
		return this.current;
	}

	/**
	 * Tells whether the file was changed since it was read.
	 * @return whether it was
	 */
	public synchronized boolean hasChanged() {
		return !this.lastModified.equals(modificationTime());
	}

	/**
	 * Reads the file again.
	 * @return whether it could be read
	 */
	public synchronized boolean reload() {
		this.lastModified = modificationTime();
		try {
			TomlTable root = TomlTable.ofFile(this.path);
			DirectSettings settings = DirectSettings.of(root);
			root.throwIfInvalid();
			this.current = settings;
			return true;
		}
		catch (InvalidTomlException ex) {
			Logger.error("settings not read again: {}", ex.getMessage());
			return false;
		}
	}

	private FileTime modificationTime() {
		try {
			return Files.getLastModifiedTime(this.path);
		}
		catch (IOException ex) {
			Logger.warn("settings file can't be looked at: {}", ex.toString());
			return FileTime.fromMillis(0);
		}
	}

}
