package org.marjoramgw.ctl;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import com.codahale.metrics.MetricRegistry;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.ServerBinding;
import org.marjoramgw.ManualMillisClock;
import org.marjoramgw.operator.ManageableProcess;
import org.marjoramgw.operator.OperatorRoutes;
import org.marjoramgw.trace.DecisionLog;
import org.marjoramgw.vmlist.Vm;
import org.marjoramgw.wire.PeerIdentity;
import org.marjoramgw.wire.PeerStatus;

/**
 * Fake process that serves a real operators' endpoint and nothing else.
 *
 * @author The marjoramgw authors
 */
final class FakeProcess implements ManageableProcess {

	static final String TOKEN = "operators-token";

	private static final long BIND_TIMEOUT_MILLIS = 5_000;

	private final ManualMillisClock clock = new ManualMillisClock(1_000);

	private final DecisionLog decisions = new DecisionLog(this.clock, 16);

	private final AtomicBoolean leaving = new AtomicBoolean();

	private final PeerIdentity identity;

	private final long revision;

	private final int port;

	FakeProcess(ActorSystem<?> system, String processId, String failureDomain, long revision) throws Exception {
		this.identity = new PeerIdentity(processId, Vm.SIDE, failureDomain, 4, "model-runners");
		this.revision = revision;
		OperatorRoutes routes = new OperatorRoutes(this, this.decisions, new MetricRegistry(), TOKEN);
		ServerBinding binding = Http.get(system)
			.newServerAt("127.0.0.1", 0)
			.bind(routes.route())
			.toCompletableFuture()
			.get(BIND_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
		this.port = binding.localAddress().getPort();
	}

	DecisionLog decisions() {
		return this.decisions;
	}

	ManualMillisClock clock() {
		return this.clock;
	}

	Vm vm() {
		return new Vm(this.identity.processId(), Vm.SIDE, this.identity.failureDomain(), this.identity.pool(),
				"127.0.0.1:1", "127.0.0.1:" + this.port, Vm.LIVE);
	}

	@Override
	public PeerIdentity identity() {
		return this.identity;
	}

	@Override
	public PeerStatus status() {
		return new PeerStatus(this.revision, this.leaving.get(), 2, 1, 8);
	}

	@Override
	public void drain() {
		this.leaving.set(true);
	}

}
