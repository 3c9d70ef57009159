package org.marjoramgw.standin.engine;

import java.util.List;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

import org.marjoramgw.HostPort;
import org.marjoramgw.standin.HttpEndpoint;
import org.marjoramgw.standin.LaggingValue;
import org.marjoramgw.standin.Standin;
import org.marjoramgw.standin.StandinSystem;

/**
 * Model engine stand-in with fault injection.
 *
 * @author The marjoramgw authors
 */
public final class EngineStandin implements Standin {

	private static final long LOAD_SAMPLE_INTERVAL_MILLIS = 50;

	private final StandinSystem system;

	private final EngineSettings settings;

	private final Batch batch;

	private final Orders orders;

	private final LaggingValue<Load> load;

	private final HttpEndpoint endpoint;

	private final HttpEndpoint controlEndpoint;

	private final ScheduledFuture<?> loadSampling;

	private EngineStandin(StandinSystem system, EngineSettings settings) {
		this.system = system;
		this.settings = settings;
		this.batch = new Batch(settings, system.clock(), system.timer(), this::onCrash);
		this.orders = new Orders(settings.models(), settings.checksFencing());
		this.load = new LaggingValue<>(system.clock(), new Load(0, 0), settings.reportLagMillis());
		EngineRoutes routes = new EngineRoutes(system, this);
		this.endpoint = new HttpEndpoint(system, settings.httpAddress(), routes.route());
		this.controlEndpoint = new HttpEndpoint(system, settings.controlAddress(), routes.controlRoute());
		this.loadSampling = system.timer()
			.scheduleWithFixedDelay(() -> this.load.set(this.batch.load()), LOAD_SAMPLE_INTERVAL_MILLIS,
					LOAD_SAMPLE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Starts a stand-in.
	 * @param system the shared actor system and timer
	 * @param settings its settings
	 * @return the running stand-in
	 */
	public static EngineStandin start(StandinSystem system, EngineSettings settings) {
		return new EngineStandin(system, settings);
	}

	/**
	 * Applies fault settings.
	 * @param control the faults
	 */
	public void control(EngineControl control) {
		if (control.straggleFactor() != null) {
			this.batch.setStraggleFactor(Math.max(control.straggleFactor(), 1));
		}
		if (control.reportLagMs() != null) {
			this.load.setLagMillis(control.reportLagMs());
		}
		if (control.crashAfterTokens() != null) {
			this.batch.setCrashAfterTokens(control.crashAfterTokens());
			if (control.crashAfterTokens() == 0) {
				this.endpoint.listen();
			}
		}
	}

	/**
	 * Returns the recorded executions.
	 * @return the executions, oldest first
	 */
	public List<Execution> executions() {
		return this.batch.executions();
	}

	/**
	 * Returns the complete response to a prompt.
	 * @param prompt content of the last message
	 * @return the response
	 */
	public ResponseText responseTo(String prompt) {
		return new ResponseText(prompt, this.settings);
	}

	@Override
	public HostPort address() {
		return this.endpoint.address();
	}

	/**
	 * Returns the address of the control endpoint, which stays up during a crash.
	 * @return the bound address
	 */
	public HostPort controlAddress() {
		return this.controlEndpoint.address();
	}

	@Override
	public void close() {
		this.loadSampling.cancel(false);
		this.batch.abortAll();
		this.endpoint.close();
		this.controlEndpoint.close();
	}

	Batch batch() {
		return this.batch;
	}

	Orders orders() {
		return this.orders;
	}

	LaggingValue<Load> load() {
		return this.load;
	}

	/**
	 * Refuses connections from a separate thread, since unbinding blocks and would stall
	 * the timer thread.
	 */
	private void onCrash() {
		Thread thread = new Thread(this.endpoint::refuseConnections, "engine-crash");
		thread.setDaemon(true);
		thread.start();
	}

}
