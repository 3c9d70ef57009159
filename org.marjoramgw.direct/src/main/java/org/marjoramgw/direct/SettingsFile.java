package org.marjoramgw.direct;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;

import org.marjoramgw.errors.InvalidTomlException;
import org.marjoramgw.settings.TomlTable;
import org.tinylog.Logger;

/**
 * Settings file that can be reloaded while the process runs; thread-safe.
 * <p>
 * Limits and times take effect immediately on a reload. Addresses and names take effect
 * only at startup. An invalid file is ignored and the previous settings remain in effect.
 *
 * @author The marjoramgw authors
 */
public final class SettingsFile {

	private final Path path;

	private volatile DirectSettings current;

	private FileTime lastModified;

	/**
	 * Creates the settings from a parsed file.
	 * @param root root table of the file
	 * @throws InvalidTomlException if the settings are invalid
	 */
	public SettingsFile(TomlTable root) throws InvalidTomlException {
		this.path = Path.of(root.file());
		this.lastModified = modificationTime();
		this.current = DirectSettings.of(root);
		root.throwIfInvalid();
	}

	/**
	 * Returns the current settings.
	 * @return the settings
	 */
	public DirectSettings get() {
		return this.current;
	}

	/**
	 * Tells whether the file has changed since it was last read.
	 * @return whether it has changed
	 */
	public synchronized boolean hasChanged() {
		return !this.lastModified.equals(modificationTime());
	}

	/**
	 * Reloads the file.
	 * @return whether the new settings are valid and now in effect
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
			Logger.error("settings not reloaded: {}", ex.getMessage());
			return false;
		}
	}

	private FileTime modificationTime() {
		try {
			return Files.getLastModifiedTime(this.path);
		}
		catch (IOException ex) {
			Logger.warn("can't read the modification time of the settings file: {}", ex.toString());
			return FileTime.fromMillis(0);
		}
	}

}
