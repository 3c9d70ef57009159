package org.marjoramgw.platform;

import java.util.function.BooleanSupplier;

import org.marjoramgw.direct.caller.CallerSocket;
import org.marjoramgw.direct.caller.RequestArrivals;
import org.marjoramgw.policy.memory.MemoryBudget;
import org.marjoramgw.policy.memory.MemoryHolder;
import org.marjoramgw.time.ClockReading;

/**
 * Socket of a caller without a connection.
 *
 * @author The marjoramgw authors
 */
final class FakeCallerSocket implements CallerSocket {

	private final MemoryHolder memory = MemoryBudget.unlimited().open();

	private final RequestArrivals arrivals;

	private final boolean ended;

	/**
	 * Creates a socket on which a request has arrived.
	 * @param arrived when it arrived
	 * @param ended whether the caller has disconnected
	 */
	FakeCallerSocket(ClockReading arrived, boolean ended) {
		this.arrivals = new RequestArrivals(arrived);
		this.ended = ended;
	}

	@Override
	public RequestArrivals arrivals() {
		return this.arrivals;
	}

	@Override
	public void closeGracefully() {
	}

	@Override
	public void endInput() {
	}

	@Override
	public MemoryHolder memory() {
		return this.memory;
	}

	@Override
	public String peerAddress() {
		return "";
	}

	@Override
	public void finishIf(BooleanSupplier condition) {
	}

	@Override
	public boolean hasEnded() {
		return this.ended;
	}

	@Override
	public boolean isWriting() {
		return false;
	}

	@Override
	public boolean isClosed() {
		return this.ended;
	}

}
