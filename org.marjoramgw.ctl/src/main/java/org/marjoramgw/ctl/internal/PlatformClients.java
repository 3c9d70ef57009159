package org.marjoramgw.ctl.internal;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.marjoramgw.errors.InvalidTomlException;
import org.marjoramgw.http.BlockingHttpClient;
import org.marjoramgw.log.HttpLogService;
import org.marjoramgw.log.LogService;
import org.marjoramgw.vmlist.HttpVmList;
import org.marjoramgw.vmlist.VmList;
import org.slf4j.LoggerFactory;

/**
 * Clients of the log service, the VM list and the processes, which one command uses. They
 * share an actor system, which {@link #close} terminates.
 *
 * @author The marjoramgw authors
 */
public final class PlatformClients implements AutoCloseable {

	private static final long PLATFORM_TIMEOUT_MILLIS = 5_000;

	private static final long PROCESS_TIMEOUT_MILLIS = 2_000;

	private final ActorSystem<Void> system;

	private final ClientSettings settings;

	/**
	 * Starts the actor system of the clients.
	 * @param options options of the command
	 * @throws InvalidTomlException if the settings file is invalid
	 */
	public PlatformClients(CommonOptions options) throws InvalidTomlException {
		this.settings = options.settings();
		// Without this, several Pekko threads would initialize the logging library
		// concurrently, and it would print a warning.
		LoggerFactory.getILoggerFactory();
		this.system = ActorSystem.create(Behaviors.empty(), "marjoramgw");
	}

	/**
	 * Returns the settings.
	 * @return the settings
	 */
	public ClientSettings settings() {
		return this.settings;
	}

	/**
	 * Returns a client of the log service.
	 * @return the client
	 */
	public LogService logService() {
		String url = CommonOptions.requireSetting(this.settings.logUrl(), ClientSettings.LOG_URL);
		return new HttpLogService(new BlockingHttpClient(this.system, PLATFORM_TIMEOUT_MILLIS, ""), url);
	}

	/**
	 * Returns a client of the VM list.
	 * @return the client
	 */
	public VmList vmList() {
		String url = CommonOptions.requireSetting(this.settings.vmListUrl(), ClientSettings.VM_LIST_URL);
		return new HttpVmList(new BlockingHttpClient(this.system, PLATFORM_TIMEOUT_MILLIS, ""), url);
	}

	/**
	 * Returns a client of the operators' endpoints of the processes.
	 * @return the client
	 */
	public ProcessClient processClient() {
		String token = CommonOptions.requireSetting(this.settings.operatorToken(), ClientSettings.OPERATOR_TOKEN);
		return new ProcessClient(new BlockingHttpClient(this.system, PROCESS_TIMEOUT_MILLIS, token));
	}

	/**
	 * Returns a client of the metrics address of direct entry processes, which needs no
	 * token.
	 * @return the client
	 */
	public EntryClient entryClient() {
		return new EntryClient(new BlockingHttpClient(this.system, PROCESS_TIMEOUT_MILLIS, ""));
	}

	@Override
	public void close() {
		this.system.terminate();
	}

}
