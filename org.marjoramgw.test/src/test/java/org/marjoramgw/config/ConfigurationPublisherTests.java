package org.marjoramgw.config;

import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

import org.marjoramgw.SystemMillisClock;
import org.marjoramgw.errors.LogUnavailableException;
import org.marjoramgw.log.MemoryLog;
import org.marjoramgw.log.MemoryLog.AppendFault;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests {@link ConfigurationPublisher} and {@link ConfigurationHistory}.
 *
 * @author The marjoramgw authors
 */
public class ConfigurationPublisherTests {

	private static final long TIMEOUT_MILLIS = 10_000;

	private final MemoryLog log = new MemoryLog(new SystemMillisClock());

	private static ConfigurationPublisher publisher(MemoryLog log, long timeoutMillis) {
		return new ConfigurationPublisher(log, new SystemMillisClock(), timeoutMillis);
	}

	@DataProvider
	public Object[][] faults() {
		return new Object[][] { { AppendFault.NONE, 1 }, { AppendFault.REFUSED, 1 }, { AppendFault.LOST_BEFORE, 1 },
				{ AppendFault.LOST_AFTER, 1 }, { AppendFault.LATE, 1 } };
	}

	@Test(dataProvider = "faults")
	public void publishesOnceUnderFaults(AppendFault fault, int appends) throws LogUnavailableException {
		MemoryLog faulty = new MemoryLog(new SystemMillisClock());
		faulty.failNextAppend(fault);
		ConfigurationPublisher publisher = publisher(faulty, TIMEOUT_MILLIS);
		Assert.assertEquals(publisher.publish("one", 0, "ana"), new PublishResult.Accepted(1));
		Assert.assertEquals(faulty.appendCount(), appends);
		faulty.deliverLate();
		Assert.assertEquals(new ConfigurationHistory(faulty).read().size(), 1);
		Assert.assertEquals(publisher.publish("two", 1, "ana"), new PublishResult.Accepted(2));
	}

	@Test
	public void reportsTheAcceptedOperatorToTheLoserOfARace() throws Exception {
		ExecutorService threads = Executors.newFixedThreadPool(2);
		try {
			Callable<PublishResult> ana = () -> publisher(this.log, TIMEOUT_MILLIS).publish("a", 0, "ana");
			Callable<PublishResult> ivo = () -> publisher(this.log, TIMEOUT_MILLIS).publish("i", 0, "ivo");
			List<Future<PublishResult>> results = threads.invokeAll(List.of(ana, ivo));
			boolean anaWon = results.get(0).get() instanceof PublishResult.Accepted;
			Assert.assertEquals(results.get(anaWon ? 1 : 0).get(),
					new PublishResult.Conflict(1, anaWon ? "ana" : "ivo"));
			Assert.assertEquals(new ConfigurationHistory(this.log).read().get(0).operator(), anaWon ? "ana" : "ivo");
		}
		finally {
			threads.shutdownNow();
		}
	}

	@Test
	public void reportsAConflictForAnOldBaseWithoutAppending() throws LogUnavailableException {
		MemoryLog fresh = new MemoryLog(new SystemMillisClock());
		Assert.assertEquals(publisher(fresh, TIMEOUT_MILLIS).publish("a", 3, "ana"), new PublishResult.Conflict(0, ""));
		Assert.assertEquals(fresh.appendCount(), 0);
	}

	@Test
	public void throwsWhenNothingWasAppended() {
		MemoryLog unavailable = new MemoryLog(new SystemMillisClock());
		unavailable.setUnavailable(true);
		Assert.assertThrows(LogUnavailableException.class, () -> publisher(unavailable, 200).publish("a", 0, "ana"));
	}

	@Test
	public void resultIsUnknownIfTheLogBecomesUnavailableAfterALostResponse() throws LogUnavailableException {
		MemoryLog backing = new MemoryLog(new SystemMillisClock());
		LogFailingAfterAppend failing = new LogFailingAfterAppend(backing);
		ConfigurationPublisher publisher = new ConfigurationPublisher(failing, new SystemMillisClock(), 200);
		Assert.assertEquals(publisher.publish("a", 0, "ana"), new PublishResult.Unknown());
	}

}
