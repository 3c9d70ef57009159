package org.marjoramgw.rig;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import org.marjoramgw.HostPort;

/**
 * Process started by the rig: a program with its settings file, which can be killed,
 * frozen, stopped, and restarted at the same addresses.
 *
 * @author The marjoramgw authors
 */
public final class ManagedProcess implements AutoCloseable {

	private static final long READY_TIMEOUT_MILLIS = 30_000;

	/** Limit on the malloc arenas of the C library, as in the launch scripts. */
	private static final String MAX_MALLOC_ARENAS = "2";

	private static final long STOP_TIMEOUT_MILLIS = 15_000;

	private final String name;

	private final List<String> command;

	private final Path settingsFile;

	private final Map<String, Object> settings;

	private Process process;

	private ProcessOutput output;

	private volatile boolean frozen;

	/** Limit on the open descriptors of the process, or 0 for that of this process. */
	private int maxDescriptors;

	private Map<String, HostPort> addresses = Map.of();

	/**
	 * Creates a process that is not started yet.
	 * @param name name of the process
	 * @param command command line, without the settings file
	 * @param settingsFile file to write the settings to
	 * @param settings the settings by key
	 */
	ManagedProcess(String name, List<String> command, Path settingsFile, Map<String, Object> settings) {
		this.name = name;
		this.command = command;
		this.settingsFile = settingsFile;
		this.settings = new LinkedHashMap<>(settings);
	}

	/**
	 * Starts the process without waiting until it is ready.
	 * @throws RigException if it cannot be started
	 */
	public synchronized void launch() throws RigException {
		try {
			Files.writeString(this.settingsFile, new TomlMapper().writeValueAsString(this.settings));
			ProcessBuilder builder = new ProcessBuilder(commandPrefix());
			builder.command().addAll(this.command);
			builder.command().add("--config");
			builder.command().add(this.settingsFile.toString());
			builder.redirectErrorStream(true);
			builder.environment().put("MALLOC_ARENA_MAX", MAX_MALLOC_ARENAS);
			this.process = builder.start();
			this.frozen = false;
			this.process.getOutputStream().close();
			this.output = new ProcessOutput(this.name, this.process.getInputStream());
			this.output.start();
		}
		catch (JsonProcessingException ex) {
			throw new RigException("settings of " + this.name + " cannot be written as TOML", ex);
		}
		catch (IOException ex) {
			throw new RigException(this.name + " cannot be started", ex);
		}
	}

	/**
	 * Waits until the process is ready. Its addresses are known from then on and are
	 * reused when it is restarted.
	 * @throws RigException if it does not become ready in time
	 */
	public synchronized void awaitReady() throws RigException {
		this.addresses = this.output.awaitReady(READY_TIMEOUT_MILLIS);
		keepAddress("http", "http_address");
		keepAddress("peer", "peer_address");
	}

	/**
	 * Kills the process without a graceful shutdown, like a VM failure, and waits until
	 * it has exited.
	 */
	public synchronized void kill() {
		if (this.process != null) {
			this.process.destroyForcibly();
			awaitExit(STOP_TIMEOUT_MILLIS);
		}
	}

	/**
	 * Freezes the process with SIGSTOP; its connections stay open but are unresponsive.
	 * @throws RigException if the signal cannot be sent
	 */
	public void freeze() throws RigException {
		JavaCommand.sendSignal(pid(), "STOP");
		this.frozen = true;
	}

	/**
	 * Resumes a frozen process with SIGCONT.
	 * @throws RigException if the signal cannot be sent
	 */
	public void thaw() throws RigException {
		JavaCommand.sendSignal(pid(), "CONT");
		this.frozen = false;
	}

	/**
	 * Requests a graceful stop with SIGTERM without waiting for it.
	 */
	public synchronized void terminate() {
		if (this.process != null) {
			this.process.destroy();
		}
	}

	/**
	 * Restarts an exited process at the same addresses and waits until it is ready.
	 * @throws RigException if it cannot be started
	 */
	public void restart() throws RigException {
		launch();
		awaitReady();
	}

	/**
	 * Changes a setting, with effect from the next start.
	 * @param key the key
	 * @param value the value
	 */
	public synchronized void setSetting(String key, Object value) {
		this.settings.put(key, value);
	}

	/**
	 * Limits the open descriptors of the process, with effect from the next start.
	 * @param count maximum number of descriptors
	 */
	public synchronized void limitDescriptors(int count) {
		this.maxDescriptors = count;
	}

	/**
	 * Waits until the process has exited.
	 * @param timeoutMillis maximum wait, in milliseconds
	 * @return whether it has exited
	 */
	public boolean awaitExit(long timeoutMillis) {
		try {
			return this.process.waitFor(timeoutMillis, TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

	/**
	 * Tells whether the process is running.
	 * @return whether it was started and has not exited
	 */
	public boolean isAlive() {
		return this.process != null && this.process.isAlive();
	}

	/**
	 * Returns the exit code.
	 * @return the exit code of the exited process
	 */
	public int exitCode() {
		return this.process.exitValue();
	}

	/**
	 * Returns the name of the process.
	 * @return the name
	 */
	public String name() {
		return this.name;
	}

	/**
	 * Returns the id of the running process.
	 * @return the process id
	 */
	public long pid() {
		return this.process.pid();
	}

	/**
	 * Returns an address that the process is bound to.
	 * @param addressName name in the ready line, for example {@code http} or {@code peer}
	 * @return the address
	 */
	public synchronized HostPort address(String addressName) {
		HostPort address = this.addresses.get(addressName);
		if (address == null) {
			throw new IllegalArgumentException(
					this.name + " has no address " + addressName + "; known addresses: " + this.addresses.keySet());
		}
		return address;
	}

	/**
	 * Returns the latest output of the process since its last start.
	 * @return lines of standard output and standard error, oldest first
	 */
	public synchronized List<String> outputLines() {
		return this.output.lines();
	}

	/**
	 * Stops the process gracefully; kills it if it is frozen or does not exit in time.
	 */
	@Override
	public void close() {
		if (!isAlive()) {
			return;
		}
		terminate();
		if (this.frozen || !awaitExit(STOP_TIMEOUT_MILLIS)) {
			kill();
		}
	}

	private List<String> commandPrefix() {
		if (this.maxDescriptors == 0) {
			return new ArrayList<>();
		}
		return new ArrayList<>(
				List.of("bash", "-c", "ulimit -n " + this.maxDescriptors + " && exec \"$@\"", this.name));
	}

	private void keepAddress(String addressName, String key) {
		HostPort address = this.addresses.get(addressName);
		if (address != null && this.settings.containsKey(key)) {
			this.settings.put(key, address.toString());
		}
	}

}
