package org.marjoramgw.direct.forward;

import java.util.List;
import java.util.Optional;

import org.marjoramgw.ManualMillisClock;
import org.marjoramgw.ResultCode;
import org.marjoramgw.direct.Fixtures;
import org.marjoramgw.direct.follow.ActiveRouting;
import org.marjoramgw.direct.model.Account;
import org.marjoramgw.direct.model.RequestKind;
import org.marjoramgw.errors.RequestRejectedException;
import org.marjoramgw.time.AgeClock;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests {@link Admission}.
 *
 * @author The marjoramgw authors
 */
public class AdmissionTests {

	private static final long MAX_AGE_MILLIS = 4_700;

	@DataProvider
	public Object[][] rejections() {
		return new Object[][] { { "/none/x", Fixtures.KEY, 0, ResultCode.UNKNOWN_PATH },
				{ "/none/x", Fixtures.KEY, MAX_AGE_MILLIS, ResultCode.CONFIGURATION_STALE },
				{ "/book/x", "other", 0, ResultCode.UNKNOWN_ACCOUNT },
				{ "/book/x", null, 0, ResultCode.UNKNOWN_ACCOUNT },
				{ "/book/x", "other", MAX_AGE_MILLIS, ResultCode.CONFIGURATION_STALE },
				{ "/book/x", Fixtures.KEY, MAX_AGE_MILLIS, ResultCode.CONFIGURATION_STALE } };
	}

	@Test(dataProvider = "rejections")
	public void rejects(String path, String key, long ageMillis, ResultCode code) {
		ManualMillisClock clock = new ManualMillisClock(1_000);
		Admission admission = new Admission(activeRouting(clock), () -> MAX_AGE_MILLIS);
		clock.advanceMillis(ageMillis);
		RequestRejectedException rejection = Assert.expectThrows(RequestRejectedException.class,
				() -> admission.admit(Fixtures.request(path, key)));
		Assert.assertEquals(rejection.code(), code);
	}

	@Test
	public void admitsKeyWhileConfigurationIsRecent() throws Exception {
		ManualMillisClock clock = new ManualMillisClock(1_000);
		Admission admission = new Admission(activeRouting(clock), () -> MAX_AGE_MILLIS);
		clock.advanceMillis(MAX_AGE_MILLIS - 1);
		AdmittedRequest admitted = admission.admit(Fixtures.request("/book/x", Fixtures.KEY));
		Assert.assertEquals(admitted.account().map(Account::name), Optional.of("coop"));
		Assert.assertEquals(admitted.rank(), 0);
	}

	@Test
	public void anonymousRouteIsServedWithStaleConfiguration() throws Exception {
		ManualMillisClock clock = new ManualMillisClock(1_000);
		Admission admission = new Admission(activeRouting(clock), () -> MAX_AGE_MILLIS);
		clock.advanceMillis(MAX_AGE_MILLIS * 10);
		Assert.assertTrue(admission.admit(Fixtures.request("/open/x", null)).account().isEmpty());
	}

	@Test
	public void missingConfigurationIsReportedAsUnavailable() {
		ManualMillisClock clock = new ManualMillisClock(1_000);
		ActiveRouting empty = new ActiveRouting("config", (value) -> Optional.empty(), new AgeClock(clock, clock));
		RequestRejectedException rejection = Assert.expectThrows(RequestRejectedException.class,
				() -> new Admission(empty, () -> MAX_AGE_MILLIS).admit(Fixtures.request("/book/x", Fixtures.KEY)));
		Assert.assertEquals(rejection.code(), ResultCode.NO_CONFIGURATION);
	}

	@Test
	public void longestPrefixWins() throws Exception {
		ManualMillisClock clock = new ManualMillisClock(1_000);
		Admission admission = new Admission(activeRouting(clock), () -> MAX_AGE_MILLIS);
		Assert.assertEquals(admission.admit(Fixtures.request("/book/now/x", Fixtures.KEY)).route().name(),
				"r/book/now/");
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
