package org.marjoramgw.rig;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

import org.apache.pekko.actor.typed.ActorSystem;
import org.marjoramgw.HostPort;
import org.marjoramgw.vmlist.Vm;

/**
 * Running deployment: the real processes of the system and the stand-ins for the platform
 * on loopback.
 * <p>
 * {@link #close()} stops entries, side processes and stand-ins in this order; a shutdown
 * hook does the same if the JVM shuts down first. Only processes that were started by the
 * deployment are terminated.
 *
 * @author The marjoramgw authors
 */
public final class Deployment implements AutoCloseable {

	/** Token that the processes of a deployment present to each other. */
	public static final String PEER_TOKEN = SettingsWriter.PEER_TOKEN;

	/** Token that operators present to the processes of a deployment. */
	public static final String OPERATOR_TOKEN = "rig-operator-token";

	private static final String ENTRY_MAIN = "org.marjoramgw.entry.EntryMain";

	private static final String SIDE_MAIN = "org.marjoramgw.side.SideMain";

	private final DeploymentPlan plan;

	private final Path directory;

	private final StandinProcess standins;

	private final SettingsWriter settings;

	private final JavaCommand java;

	private final ConfigurationControl configuration;

	private final Map<String, ManagedProcess> entries = new LinkedHashMap<>();

	private final Map<String, ManagedProcess> sides = new LinkedHashMap<>();

	private final Thread shutdownHook = new Thread(this::stopAll, "deployment stop");

	private Deployment(DeploymentPlan plan, ActorSystem<?> system) throws RigException {
		this.plan = plan;
		this.directory = temporaryDirectory();
		this.java = new JavaCommand();
		this.standins = new StandinProcess(plan, this.java, this.directory, system);
		this.settings = new SettingsWriter(plan, this.standins);
		this.configuration = new ConfigurationControl(system);
		Runtime.getRuntime().addShutdownHook(this.shutdownHook);
	}

	/**
	 * Starts a deployment and waits until its entries are healthy.
	 * @param plan description of the deployment
	 * @param system actor system that runs the HTTP requests
	 * @return the deployment
	 * @throws RigException if a process does not start; the processes started before are
	 * stopped
	 */
	public static Deployment start(DeploymentPlan plan, ActorSystem<?> system) throws RigException {
		Deployment deployment = new Deployment(plan, system);
		try {
			deployment.startAll();
			return deployment;
		}
		catch (RigException | RuntimeException ex) {
			deployment.close();
			throw ex;
		}
	}

	/**
	 * Returns an entry process.
	 * @param name name of the process
	 * @return the process
	 */
	public ManagedProcess entry(String name) {
		return find(this.entries, name);
	}

	/**
	 * Returns all entry processes.
	 * @return the processes in the order of the plan
	 */
	public Collection<ManagedProcess> entries() {
		return Collections.unmodifiableCollection(this.entries.values());
	}

	/**
	 * Returns a side process.
	 * @param name name of the process
	 * @return the process
	 */
	public ManagedProcess side(String name) {
		return find(this.sides, name);
	}

	/**
	 * Returns all side processes.
	 * @return the processes in the order of the plan
	 */
	public Collection<ManagedProcess> sides() {
		return Collections.unmodifiableCollection(this.sides.values());
	}

	/**
	 * Returns the process of the stand-ins.
	 * @return the process, which also controls them
	 */
	public StandinProcess standins() {
		return this.standins;
	}

	/**
	 * Returns the plan of the deployment.
	 * @return the plan
	 */
	public DeploymentPlan plan() {
		return this.plan;
	}

	/**
	 * Publishes a configuration and waits until it is in force in every process.
	 * @param text text of the configuration
	 * @throws RigException if it is not accepted or not in force in time
	 */
	public void publish(String text) throws RigException {
		this.configuration.publish(this.standins.address(StandinProcess.LOG), text);
		this.configuration.awaitInForce(this.entries.values());
		this.configuration.awaitInForce(this.sides.values());
	}

	/**
	 * Starts an additional entry and adds it to the VM list.
	 * @param entry the entry
	 * @return the ready process
	 * @throws RigException if it does not start
	 */
	public ManagedProcess addEntry(EntryPlan entry) throws RigException {
		ManagedProcess process = launchEntry(entry);
		process.awaitReady();
		registerEntry(entry, process);
		return process;
	}

	/**
	 * Sets the state of the VM of a side process in the VM list.
	 * @param name name of the side process
	 * @param state {@link Vm#LIVE} or {@link Vm#LEAVING}
	 * @throws RigException if the VM list rejects the request
	 */
	public void registerSide(String name, String state) throws RigException {
		BackendPlan backend = this.plan.backends()
			.stream()
			.filter((candidate) -> candidate.name().equals(name))
			.findFirst()
			.orElseThrow(() -> new IllegalArgumentException("unknown backend server " + name));
		ManagedProcess side = side(name);
		HostPort peer = this.standins.proxiedAddress(LinkKind.ENTRY_SIDE, name, side.address("peer"));
		this.standins.putVm(new Vm(name, Vm.SIDE, backend.failureDomain(), backend.pool(), peer.toString(),
				side.address("http").toString(), state));
	}

	/**
	 * Stops all processes in order and removes the settings files.
	 */
	@Override
	public void close() {
		stopAll();
		try {
			Runtime.getRuntime().removeShutdownHook(this.shutdownHook);
		}
		catch (IllegalStateException ex) {
			// The JVM is already shutting down; the hook has run or is running.
			return;
		}
	}

	private void startAll() throws RigException {
		this.standins.start();
		if (!this.plan.configurationText().isEmpty()) {
			this.configuration.publish(this.standins.address(StandinProcess.LOG), this.plan.configurationText());
		}
		for (BackendPlan backend : this.plan.backends()) {
			launchSide(backend);
		}
		for (EntryPlan entry : this.plan.entries()) {
			launchEntry(entry);
		}
		for (ManagedProcess side : this.sides.values()) {
			side.awaitReady();
			registerSide(side.name(), Vm.LIVE);
		}
		for (EntryPlan entry : this.plan.entries()) {
			ManagedProcess process = entry(entry.name());
			process.awaitReady();
			registerEntry(entry, process);
		}
		for (ManagedProcess entry : this.entries.values()) {
			this.standins.awaitHealthy(entry.address("http"));
		}
	}

	private void launchSide(BackendPlan backend) throws RigException {
		ManagedProcess process = newProcess(backend.name(), SIDE_MAIN, this.settings.side(backend));
		this.sides.put(backend.name(), process);
		process.launch();
	}

	private ManagedProcess launchEntry(EntryPlan entry) throws RigException {
		ManagedProcess process = newProcess(entry.name(), ENTRY_MAIN, this.settings.entry(entry));
		this.entries.put(entry.name(), process);
		process.launch();
		return process;
	}

	private void registerEntry(EntryPlan entry, ManagedProcess process) throws RigException {
		this.standins.putVm(new Vm(entry.name(), Vm.ENTRY, entry.failureDomain(), "", "",
				process.address("http").toString(), Vm.LIVE));
	}

	private ManagedProcess newProcess(String name, String mainClass, Map<String, Object> processSettings) {
		List<String> command = this.java.commandLine(JavaCommand.DAEMON_OPTIONS, mainClass, List.of());
		return new ManagedProcess(name, command, this.directory.resolve(name + ".toml"), processSettings);
	}

	private synchronized void stopAll() {
		stop(this.entries.values());
		stop(this.sides.values());
		this.standins.close();
		removeDirectory();
	}

	private static void stop(Collection<ManagedProcess> processes) {
		processes.forEach(ManagedProcess::terminate);
		processes.forEach(ManagedProcess::close);
	}

	private void removeDirectory() {
		if (!Files.isDirectory(this.directory)) {
			return;
		}
		try (Stream<Path> files = Files.walk(this.directory)) {
			for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
				Files.deleteIfExists(file);
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static Path temporaryDirectory() throws RigException {
		try {
			return Files.createTempDirectory("marjoramgw-rig");
		}
		catch (IOException ex) {
			throw new RigException("cannot create a temporary directory", ex);
		}
	}

	private static ManagedProcess find(Map<String, ManagedProcess> processes, String name) {
		ManagedProcess process = processes.get(name);
		if (process == null) {
			throw new IllegalArgumentException("unknown process " + name + "; known processes: " + processes.keySet());
		}
		return process;
	}

}
