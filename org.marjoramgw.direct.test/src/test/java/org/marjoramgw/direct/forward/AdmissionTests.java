package org.marjoramgw.direct.forward;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.marjoramgw.ManualMillisClock;
import org.marjoramgw.ResultCode;
import org.marjoramgw.direct.Fixtures;
import org.marjoramgw.direct.follow.ActiveRouting;
import org.marjoramgw.direct.model.Account;
import org.marjoramgw.direct.model.RequestKind;
import org.marjoramgw.errors.RequestRejectedException;
import org.marjoramgw.time.AgeClock;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests {@link Admission}.
 *
 * @author The marjoramgw authors
 */
public class AdmissionTests {

	private static final long MAX_AGE_MILLIS = 4_700;

	private static final long MAX_DENIAL_AGE_MILLIS = 1_700;

	private CompletableFuture<Boolean> confirmation;

	private int confirmationCount;

	@BeforeMethod
	public void resetConfirmation() {
		this.confirmation = new CompletableFuture<>();
		this.confirmationCount = 0;
	}

	@DataProvider
	public Object[][] rejections() {
		return new Object[][] { { "/none/x", Fixtures.KEY, 0, ResultCode.UNKNOWN_PATH },
				{ "/none/x", Fixtures.KEY, MAX_DENIAL_AGE_MILLIS - 1, ResultCode.UNKNOWN_PATH },
				{ "/none/x", Fixtures.KEY, MAX_DENIAL_AGE_MILLIS, ResultCode.CONFIGURATION_STALE },
				{ "/none/x", Fixtures.KEY, MAX_AGE_MILLIS, ResultCode.CONFIGURATION_STALE },
				{ "/book/x", "other", 0, ResultCode.UNKNOWN_ACCOUNT },
				{ "/book/x", null, 0, ResultCode.UNKNOWN_ACCOUNT },
				{ "/book/x", "other", MAX_DENIAL_AGE_MILLIS, ResultCode.CONFIGURATION_STALE },
				{ "/book/x", "other", MAX_AGE_MILLIS, ResultCode.CONFIGURATION_STALE },
				{ "/book/x", Fixtures.KEY, MAX_AGE_MILLIS, ResultCode.CONFIGURATION_STALE } };
	}

	@Test(dataProvider = "rejections")
	public void rejects(String path, String key, long ageMillis, ResultCode code) {
		ManualMillisClock clock = new ManualMillisClock(1_000);
		Admission admission = admission(activeRouting(clock));
		clock.advanceMillis(ageMillis);
		RequestRejectedException rejection = Assert.expectThrows(RequestRejectedException.class,
				() -> admission.admit(Fixtures.request(path, key)));
		Assert.assertEquals(rejection.code(), code);
	}

	@Test
	public void admitsKeyWhileConfigurationIsRecent() throws Exception {
		ManualMillisClock clock = new ManualMillisClock(1_000);
		Admission admission = admission(activeRouting(clock));
		clock.advanceMillis(MAX_AGE_MILLIS - 1);
		AdmittedRequest admitted = admission.admit(Fixtures.request("/book/x", Fixtures.KEY));
		Assert.assertEquals(admitted.account().map(Account::name), Optional.of("coop"));
		Assert.assertEquals(admitted.rank(), 0);
	}

	@Test
	public void anonymousRouteIsServedWithStaleConfiguration() throws Exception {
		ManualMillisClock clock = new ManualMillisClock(1_000);
		Admission admission = admission(activeRouting(clock));
		clock.advanceMillis(MAX_AGE_MILLIS * 10);
		Assert.assertTrue(admission.admit(Fixtures.request("/open/x", null)).account().isEmpty());
	}

	@Test
	public void missingConfigurationIsReportedAsUnavailable() {
		ManualMillisClock clock = new ManualMillisClock(1_000);
		ActiveRouting empty = new ActiveRouting("config", (value) -> Optional.empty(), new AgeClock(clock, clock));
		RequestRejectedException rejection = Assert.expectThrows(RequestRejectedException.class,
				() -> admission(empty).admit(Fixtures.request("/book/x", Fixtures.KEY)));
		Assert.assertEquals(rejection.code(), ResultCode.NO_CONFIGURATION);
	}

	@Test
	public void longestPrefixWins() throws Exception {
		ManualMillisClock clock = new ManualMillisClock(1_000);
		Admission admission = admission(activeRouting(clock));
		Assert.assertEquals(admission.admit(Fixtures.request("/book/now/x", Fixtures.KEY)).route().name(),
				"r/book/now/");
	}

	/**
	 * Lists requests and whether the store is read again before the decision.
	 * @return path, key, age of the confirmation in milliseconds, and whether it is
	 */
	@DataProvider
	public Object[][] decisions() {
		return new Object[][] { { "/none/x", Fixtures.KEY, MAX_DENIAL_AGE_MILLIS, true },
				{ "/none/x", Fixtures.KEY, MAX_DENIAL_AGE_MILLIS - 1, false },
				{ "/book/x", "other", MAX_DENIAL_AGE_MILLIS, true }, { "/book/x", null, MAX_AGE_MILLIS, true },
				{ "/book/x", Fixtures.KEY, MAX_AGE_MILLIS, false }, { "/open/x", null, MAX_AGE_MILLIS, false } };
	}

	/** Guards against a permanent rejection by a configuration that may be outdated. */
	@Test(dataProvider = "decisions")
	public void storeIsReadBeforeAnOldConfigurationRejects(String path, String key, long ageMillis, boolean read) {
		ManualMillisClock clock = new ManualMillisClock(1_000);
		Admission admission = admission(activeRouting(clock));
		clock.advanceMillis(ageMillis);
		CompletableFuture<Boolean> settled = admission.settle(Fixtures.request(path, key)).toCompletableFuture();
		Assert.assertEquals(this.confirmationCount, read ? 1 : 0);
		Assert.assertEquals(settled.isDone(), !read);
		this.confirmation.complete(true);
		Assert.assertTrue(settled.isDone());
	}

	private Admission admission(ActiveRouting routing) {
		return new Admission(routing, () -> MAX_AGE_MILLIS, () -> MAX_DENIAL_AGE_MILLIS, () -> {
			this.confirmationCount++;
			return this.confirmation;
		});
	}

	private static ActiveRouting activeRouting(ManualMillisClock clock) {
		AgeClock ages = new AgeClock(clock, clock);
		ActiveRouting routing = new ActiveRouting("config",
				(value) -> Optional
					.of(Fixtures.routing(1, Fixtures.route("/book/", RequestKind.NON_IDEMPOTENT, 1, false),
							Fixtures.route("/book/now/", RequestKind.NON_IDEMPOTENT, 1, false),
							Fixtures.route("/open/", RequestKind.IDEMPOTENT, 2, true))),
				ages);
		routing.onSnapshot(List.of(Fixtures.record("config", "1", 0)));
		routing.onConfirmed(ages.now());
		return routing;
	}

}
