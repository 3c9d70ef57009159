package org.marjoramgw.ctl.internal;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.marjoramgw.errors.InvalidTomlException;
import org.marjoramgw.http.HttpCaller;
import org.marjoramgw.log.HttpLogService;
import org.marjoramgw.log.LogService;
import org.marjoramgw.vmlist.HttpVmList;
import org.marjoramgw.vmlist.VmList;
import org.slf4j.LoggerFactory;

/**
 * Access to the platform and to the processes for the length of one command.
 *
 * @author The marjoramgw authors
 */
public final class PlatformClients implements AutoCloseable {

	private static final long PLATFORM_TIMEOUT_MILLIS = 5_000;

	private static final long PROCESS_TIMEOUT_MILLIS = 2_000;

	private final ActorSystem<Void> system;

	private final ClientSettings settings;

	/**
	 * Opens access.
	 * @param options options of the command
	 * @throws InvalidTomlException if the settings file has mistakes
	 */
	public PlatformClients(CommonOptions options) throws InvalidTomlException {
		this.settings = options.settings();
		// Pekko's threads would start the logging library side by side and warn about it.
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
	 * Returns the log service.
	 * @return the log service
	 */
	public LogService log() {
		String url = CommonOptions.requireSetting(this.settings.logUrl(), ClientSettings.LOG_URL);
		return new HttpLogService(new HttpCaller(this.system, PLATFORM_TIMEOUT_MILLIS, ""), url);
	}

	/**
	 * Returns the VM list.
	 * @return the VM list
	 */
	public VmList vmList() {
		String url = CommonOptions.requireSetting(this.settings.vmListUrl(), ClientSettings.VM_LIST_URL);
		return new HttpVmList(new HttpCaller(this.system, PLATFORM_TIMEOUT_MILLIS, ""), url);
	}

	/**
	 * Returns the operators' side of the processes.
	 * @return a client of the processes
	 */
	public ProcessClient processes() {
		String token = CommonOptions.requireSetting(this.settings.operatorToken(), ClientSettings.OPERATOR_TOKEN);
		return new ProcessClient(new HttpCaller(this.system, PROCESS_TIMEOUT_MILLIS, token));
	}

	@Override
	public void close() {
		this.system.terminate();
	}

}
