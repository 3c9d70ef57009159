package org.marjoramgw.direct.caller;

import java.util.ArrayList;
import java.util.List;

import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests {@link CallerConnection}.
 *
 * @author The marjoramgw authors
 */
public class CallerConnectionTests {

	private List<String> events;

	private CallerConnection connection;

	private boolean hasUnread;

	@BeforeMethod
	public void open() {
		this.events = new ArrayList<>();
		this.hasUnread = false;
		this.connection = new CallerConnection(new FakeSocket());
	}

	@Test
	public void closesOnlyIdleConnections() {
		Assert.assertTrue(this.connection.beginRequest());
		this.connection.closeIfIdle();
		Assert.assertEquals(this.events, List.of());
		this.connection.endRequest();
		this.connection.closeIfIdle();
		this.connection.closeIfIdle();
		Assert.assertEquals(this.events, List.of("closed"));
	}

	@Test
	public void requestAfterCloseIsNotBegun() {
		this.connection.closeIfIdle();
		Assert.assertFalse(this.connection.beginRequest());
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
	public void connectionWithUnreadRequestIsNotClosed() {
		this.hasUnread = true;
		this.connection.closeIfIdle();
		Assert.assertEquals(this.events, List.of());
		Assert.assertTrue(this.connection.beginRequest());
	}

	private final class FakeSocket implements CallerSocket {

		@Override
		public void closeGracefully() {
			CallerConnectionTests.this.events.add("closed");
		}

		@Override
		public boolean hasEnded() {
			return false;
		}

		@Override
		public boolean hasUnreadBytes() {
			return CallerConnectionTests.this.hasUnread;
		}

	}

}
