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
		this.connection = new CallerConnection(new FakeLine());
	}

	@Test
	public void stopClosesOnlyIdleConnections() {
		Assert.assertTrue(this.connection.begin());
		this.connection.closeIfIdle();
		Assert.assertEquals(this.events, List.of());
		this.connection.end();
		this.connection.closeIfIdle();
		this.connection.closeIfIdle();
		Assert.assertEquals(this.events, List.of("hung up"));
	}

	@Test
	public void requestThatCrossesTheCloseIsNotBegun() {
		this.connection.closeIfIdle();
		Assert.assertFalse(this.connection.begin());
	}

	@Test
	public void requestUnderWayHearsOnceThatItsCallerLeft() {
		this.connection.begin();
		this.connection.whenClosed(() -> this.events.add("cancelled"));
		this.connection.close();
		this.connection.close();
		Assert.assertEquals(this.events, List.of("cancelled"));
	}

	@Test
	public void requestThatBeginsAfterItsCallerLeftHearsItAtOnce() {
		this.connection.close();
		this.connection.whenClosed(() -> this.events.add("cancelled"));
		Assert.assertEquals(this.events, List.of("cancelled"));
	}

	@Test
	public void answeredRequestHearsNothingMore() {
		this.connection.begin();
		this.connection.whenClosed(() -> this.events.add("cancelled"));
		this.connection.end();
		this.connection.close();
		Assert.assertEquals(this.events, List.of());
		Assert.assertTrue(this.connection.opened().toCompletableFuture().isDone());
	}

	@Test
	public void headThatStaysIncompleteEndsItsConnectionAlone() {
		int first = this.connection.onBytes();
		Assert.assertEquals(this.connection.onBytes(), 0, "more of the same head");
		this.connection.begin();
		Assert.assertEquals(this.connection.onBytes(), 0, "its body");
		this.connection.closeIfHeadIncomplete(first);
		Assert.assertEquals(this.events, List.of());
		this.connection.end();
		int second = this.connection.onBytes();
		this.connection.closeIfHeadIncomplete(first);
		Assert.assertEquals(this.events, List.of(), "the timer of the first head");
		this.connection.closeIfHeadIncomplete(second);
		Assert.assertEquals(this.events, List.of("hung up"));
	}

	@Test
	public void stopLeavesAConnectionAloneWhoseRequestHasArrivedUnread() {
		this.hasUnread = true;
		this.connection.closeIfIdle();
		Assert.assertEquals(this.events, List.of());
		Assert.assertTrue(this.connection.begin());
	}

	private final class FakeLine implements CallerLine {

		@Override
		public void finish() {
			CallerConnectionTests.this.events.add("hung up");
		}

		@Override
		public boolean hasEnded() {
			return false;
		}

		@Override
		public boolean hasReceived() {
			return CallerConnectionTests.this.hasUnread;
		}

	}

}
