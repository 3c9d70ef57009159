package org.marjoramgw.load.capacity;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.marjoramgw.HostPort;
import org.marjoramgw.ResultCode;
import org.marjoramgw.rig.Deployment;
import org.marjoramgw.rig.RigException;
import org.marjoramgw.transport.Connection;
import org.marjoramgw.transport.Transport;
import org.marjoramgw.vmlist.Vm;
import org.marjoramgw.wire.Message;
import org.marjoramgw.wire.PeerIdentity;
import org.marjoramgw.wire.PeerStatus;

/**
 * Fake side processes for a real entry, which respond to every request immediately.
 *
 * @author The marjoramgw authors
 */
final class FakeSides implements AutoCloseable {

	private static final long LISTEN_TIMEOUT_MILLIS = 5_000;

	private static final long GRANT_MILLIS = 100;

	private static final int SLOT_COUNT = 8;

	private final Transport transport;

	private final TrafficCounter trafficCounter;

	private final List<FakeSide> sides = new ArrayList<>();

	FakeSides(Transport transport, TrafficCounter trafficCounter) {
		this.transport = transport;
		this.trafficCounter = trafficCounter;
	}

	/**
	 * Adds side processes to a deployment and its VM list until there are {@code total}.
	 * @param total number of side processes
	 * @param failureDomains failure domains to distribute them over
	 * @param deployment the deployment
	 * @throws RigException if one can't listen or be added to the VM list
	 */
	void growTo(int total, List<String> failureDomains, Deployment deployment) throws RigException {
		for (int index = this.sides.size(); index < total; index++) {
			String failureDomain = failureDomains.get(index % failureDomains.size());
			FakeSide side = new FakeSide(
					new PeerIdentity("fake-side-" + index, Vm.SIDE, failureDomain, 1, CapacityConfiguration.POOL));
			HostPort address = listen(side);
			this.sides.add(side);
			deployment.standins()
				.putVm(new Vm(side.identity.processId(), Vm.SIDE, failureDomain, CapacityConfiguration.POOL,
						address.toString(), address.toString(), Vm.LIVE));
		}
	}

	long openCount() {
		return this.sides.stream().mapToLong(FakeSide::openCount).sum();
	}

	/**
	 * Makes all side processes of a failure domain stop sending messages permanently,
	 * without closing their connections.
	 * @param failureDomain the failure domain
	 */
	void silence(String failureDomain) {
		this.sides.stream()
			.filter((side) -> side.identity.failureDomain().equals(failureDomain))
			.forEach(FakeSide::goSilent);
	}

	@Override
	public void close() {
		this.sides.forEach(FakeSide::close);
	}

	private HostPort listen(FakeSide side) throws RigException {
		try {
			return this.transport.listen(new HostPort("127.0.0.1", 0), side::accept)
				.toCompletableFuture()
				.get(LISTEN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new RigException("interrupted", ex);
		}
		catch (ExecutionException | TimeoutException ex) {
			throw new RigException("fake side process can't listen", ex);
		}
	}

	private final class FakeSide {

		private final PeerIdentity identity;

		private final List<FakePeerConnection> connections = new CopyOnWriteArrayList<>();

		private volatile boolean silent;

		FakeSide(PeerIdentity identity) {
			this.identity = identity;
		}

		FakePeerConnection accept(Connection connection) {
			FakePeerConnection peer = new FakePeerConnection(connection, this.identity,
					new PeerStatus(1, false, 0, 0, SLOT_COUNT), FakeSides.this.trafficCounter, FakeSide::respond);
			this.connections.add(peer);
			if (this.silent) {
				peer.goSilent();
			}
			return peer;
		}

		void goSilent() {
			this.silent = true;
			this.connections.forEach(FakePeerConnection::goSilent);
		}

		long openCount() {
			return this.connections.stream().filter(FakePeerConnection::isOpen).count();
		}

		void close() {
			this.connections.forEach(FakePeerConnection::close);
		}

		private static void respond(FakePeerConnection connection, Message message) {
			if (message instanceof Message.Reserve reserve) {
				connection.send(new Message.Grant(reserve.requestId(), reserve.attempt(), GRANT_MILLIS));
			}
			else if (message instanceof Message.Run run) {
				byte[] text = "done ".getBytes(StandardCharsets.UTF_8);
				connection.send(new Message.Chunk(run.requestId(), run.attempt(), 0, 1, text));
				connection.send(new Message.End(run.requestId(), run.attempt(), 1, ResultCode.OK.number(), 200,
						"application/json", "stop"));
			}
		}

	}

}
