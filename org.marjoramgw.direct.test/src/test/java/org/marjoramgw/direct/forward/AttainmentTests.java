package org.marjoramgw.direct.forward;

import java.util.List;

import org.marjoramgw.ResultCode;
import org.marjoramgw.direct.model.RequestKind;
import org.marjoramgw.direct.model.Route;
import org.marjoramgw.direct.model.WeightedService;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests {@link Attainment}.
 *
 * @author The marjoramgw authors
 */
public class AttainmentTests {

	private static final Route ROUTE = new Route("reply", "carob.example", "/", RequestKind.STREAMING, false, false,
			2_000, 250, Long.MAX_VALUE, 150, 1, 1, List.of(new WeightedService("s", 1)));

	@DataProvider
	public Object[][] requests() {
		return new Object[][] { { ResultCode.OK, 250, 150, Attainment.IN_TIME },
				{ ResultCode.OK, 251, 151, Attainment.LATE_START }, { ResultCode.OK, 250, 151, Attainment.LATE_PAUSE },
				{ ResultCode.BACKEND_BROKE_OFF, 20, 20, Attainment.BROKEN_OFF },
				{ ResultCode.DEADLINE_IN_FLIGHT, 20, 20, Attainment.BROKEN_OFF },
				{ ResultCode.BACKEND_ERROR, 20, 0, Attainment.BROKEN_OFF },
				{ ResultCode.NO_BACKEND, 1, 0, Attainment.REFUSED },
				{ ResultCode.CALLER_GONE, 20, 0, Attainment.CALLER_LEFT } };
	}

	@Test(dataProvider = "requests")
	public void missedTargetIsNamed(ResultCode code, long startMillis, long pauseMillis, Attainment expected) {
		Assert.assertEquals(Attainment.of(code, ROUTE, startMillis, pauseMillis), expected);
	}

}
