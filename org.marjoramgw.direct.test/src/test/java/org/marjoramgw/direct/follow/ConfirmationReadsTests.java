package org.marjoramgw.direct.follow;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.marjoramgw.ManualMillisClock;
import org.marjoramgw.errors.StoreUnavailableException;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests {@link ConfirmationReads}.
 *
 * @author The marjoramgw authors
 */
public class ConfirmationReadsTests {

	private final ManualMillisClock clock = new ManualMillisClock(1_000);

	private final List<CompletableFuture<Void>> sent = new ArrayList<>();

	@BeforeMethod
	public void forgetReads() {
		this.sent.clear();
	}

	/**
	 * Guards against a decision that rests on a read that was sent before the request.
	 */
	@Test
	public void requestDuringAReadWaitsForTheNextOne() {
		ConfirmationReads reads = reads();
		CompletableFuture<Boolean> first = reads.request().toCompletableFuture();
		CompletableFuture<Boolean> second = reads.request().toCompletableFuture();
		CompletableFuture<Boolean> third = reads.request().toCompletableFuture();
		Assert.assertEquals(this.sent.size(), 1);
		this.sent.get(0).complete(null);
		Assert.assertTrue(first.isDone() && first.join());
		Assert.assertFalse(second.isDone() || third.isDone());
		Assert.assertEquals(this.sent.size(), 2, "one read for both");
		this.sent.get(1).complete(null);
		Assert.assertTrue(second.isDone() && third.isDone());
		reads.request();
		Assert.assertEquals(this.sent.size(), 3);
	}

	/** Guards against a flood of calls to a store that is away. */
	@Test
	public void failedReadIsNotRepeatedAtOnce() {
		ConfirmationReads reads = reads();
		CompletableFuture<Boolean> first = reads.request().toCompletableFuture();
		CompletableFuture<Boolean> second = reads.request().toCompletableFuture();
		this.sent.get(0).completeExceptionally(new StoreUnavailableException("away", null));
		Assert.assertTrue(first.isDone() && second.isDone(), "nobody waits on");
		Assert.assertFalse(first.join() || second.join());
		Assert.assertTrue(reads.request().toCompletableFuture().isDone());
		Assert.assertEquals(this.sent.size(), 1);
		this.clock.advanceMillis(250);
		Assert.assertFalse(reads.request().toCompletableFuture().isDone());
		Assert.assertEquals(this.sent.size(), 2);
	}

	/** Guards against requests that wait for ever after a read that could not be sent. */
	@Test
	public void faultOfAReadEndsIt() {
		ConfirmationReads reads = new ConfirmationReads(() -> {
			throw new IllegalStateException("no connection");
		}, this.clock);
		Assert.assertFalse(reads.request().toCompletableFuture().getNow(true));
		this.clock.advanceMillis(250);
		Assert.assertFalse(reads.request().toCompletableFuture().getNow(true));
	}

	private ConfirmationReads reads() {
		return new ConfirmationReads(() -> {
			this.sent.add(new CompletableFuture<>());
			return this.sent.get(this.sent.size() - 1);
		}, this.clock);
	}

}
