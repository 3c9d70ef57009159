package org.marjoramgw.direct.caller;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

import org.marjoramgw.policy.memory.MemoryBudget;
import org.marjoramgw.policy.memory.MemoryHolder;
import org.marjoramgw.time.ClockReading;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests {@link CallerConnection}.
 *
 * @author The marjoramgw authors
 */
public class CallerConnectionTests {

	private final MemoryHolder memory = MemoryBudget.unlimited().open();

	private RequestArrivals arrivals;

	private List<String> events;

	private CallerConnection connection;

	private boolean hasUnread;

	private boolean writing;

	@BeforeMethod
	public void open() {
		this.events = new ArrayList<>();
		this.arrivals = new RequestArrivals(new ClockReading(0, 0));
		this.hasUnread = false;
		this.writing = false;
		this.connection = new CallerConnection(new FakeSocket());
	}

	@Test
	public void endsOnlyIdleConnections() {
		this.connection.onBytes();
		this.connection.finishIfIdle();
		Assert.assertTrue(this.connection.beginRequest());
		this.connection.finishIfIdle();
		Assert.assertEquals(this.events, List.of());
		this.connection.endRequest();
		this.connection.finishIfIdle();
		Assert.assertEquals(this.events, List.of("finished"));
	}

	@Test
	public void requestAfterCloseIsNotBegun() {
		this.connection.closeIfHeadIncomplete(this.connection.onBytes());
		Assert.assertFalse(this.connection.beginRequest());
	}

	@Test
	public void requestOfDisconnectedCallerIsNotBegun() {
		this.connection.onClosedByCaller();
		Assert.assertFalse(this.connection.beginRequest());
	}

	/**
	 * A request that was read before its connection was ended is served, since the
	 * response is still written.
	 */
	@Test
	public void requestReadBeforeTheEndIsBegun() {
		this.connection.finishIfIdle();
		Assert.assertEquals(this.events, List.of("finished"));
		Assert.assertTrue(this.connection.beginRequest());
	}

	@Test
	public void requestInProgressIsCancelledOnceOnDisconnect() {
		this.connection.beginRequest();
		this.connection.whenClosed(() -> this.events.add("cancelled"));
		this.connection.onClosedByCaller();
		this.connection.onClosedByCaller();
		Assert.assertEquals(this.events, List.of("cancelled"));
	}

	@Test
	public void requestAfterDisconnectIsCancelledImmediately() {
		this.connection.onClosedByCaller();
		this.connection.whenClosed(() -> this.events.add("cancelled"));
		Assert.assertEquals(this.events, List.of("cancelled"));
	}

	@Test
	public void completedRequestIsNotCancelled() {
		this.connection.beginRequest();
		this.connection.whenClosed(() -> this.events.add("cancelled"));
		this.connection.endRequest();
		this.connection.onClosedByCaller();
		Assert.assertEquals(this.events, List.of());
		Assert.assertTrue(this.connection.opened().toCompletableFuture().isDone());
	}

	@Test
	public void headTimeoutClosesOnlyItsOwnConnection() {
		int first = this.connection.onBytes();
		Assert.assertEquals(this.connection.onBytes(), 0, "continues the same head");
		this.connection.beginRequest();
		Assert.assertEquals(this.connection.onBytes(), 0, "body of the request");
		this.connection.closeIfHeadIncomplete(first);
		Assert.assertEquals(this.events, List.of());
		this.connection.endRequest();
		int second = this.connection.onBytes();
		this.connection.closeIfHeadIncomplete(first);
		Assert.assertEquals(this.events, List.of(), "the timer of the first head");
		this.connection.closeIfHeadIncomplete(second);
		Assert.assertEquals(this.events, List.of("closed"));
	}

	@Test
	public void headTimeoutWaitsForTheResponseBeforeIt() {
		int number = this.connection.onBytes();
		this.writing = true;
		Assert.assertTrue(this.connection.closeIfHeadIncomplete(number), "has to be checked again");
		Assert.assertEquals(this.events, List.of());
		this.writing = false;
		Assert.assertFalse(this.connection.closeIfHeadIncomplete(number));
		Assert.assertEquals(this.events, List.of("closed"));
	}

	@Test
	public void connectionWithUnreadRequestIsNotEnded() {
		this.hasUnread = true;
		this.connection.finishIfIdle();
		Assert.assertEquals(this.events, List.of());
		Assert.assertTrue(this.connection.beginRequest());
	}

	/**
	 * Guards against a refusal that says that nothing ran after the body was complete.
	 */
	@Test
	public void onlyIncompleteBodyIsRefused() {
		Assert.assertFalse(this.connection.refuseBody());
		this.connection.beginRequest();
		Assert.assertTrue(this.connection.refuseBody());
		Assert.assertFalse(this.connection.refuseBody(), "refused already");
		Assert.assertTrue(this.connection.isBodyRefused());
		Assert.assertEquals(this.events, List.of("input ended"));
		open();
		this.connection.beginRequest();
		this.connection.endRequestBody();
		Assert.assertFalse(this.connection.refuseBody());
		Assert.assertEquals(this.events, List.of());
	}

	private final class FakeSocket implements CallerSocket {

		@Override
		public RequestArrivals arrivals() {
			return CallerConnectionTests.this.arrivals;
		}

		@Override
		public void closeGracefully() {
			CallerConnectionTests.this.events.add("closed");
		}

		@Override
		public boolean hasEnded() {
			return false;
		}

		@Override
		public void endInput() {
			CallerConnectionTests.this.events.add("input ended");
		}

		@Override
		public MemoryHolder memory() {
			return CallerConnectionTests.this.memory;
		}

		@Override
		public String peerAddress() {
			return "";
		}

		@Override
		public void finishIf(BooleanSupplier condition) {
			if (!CallerConnectionTests.this.hasUnread && condition.getAsBoolean()) {
				CallerConnectionTests.this.events.add("finished");
			}
		}

		@Override
		public boolean isWriting() {
			return CallerConnectionTests.this.writing;
		}

		@Override
		public boolean isClosed() {
			return false;
		}

	}

}
