package org.marjoramgw.http;

import org.marjoramgw.errors.HttpCallException;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests {@link HttpReply}.
 *
 * @author The marjoramgw authors
 */
public class HttpReplyTests {

	private static final String URI = "http://127.0.0.1:1/state";

	@DataProvider
	public Object[][] successes() {
		return new Object[][] { { 200 }, { 204 }, { 299 } };
	}

	@Test(dataProvider = "successes")
	public void acceptsSuccess(int status) throws HttpCallException {
		reply(status).requireOk(URI);
	}

	@DataProvider
	public Object[][] failures() {
		return new Object[][] { { 199 }, { 300 }, { 404 }, { 503 } };
	}

	@Test(dataProvider = "failures")
	public void reportsUriAndStatusOfFailure(int status) {
		HttpCallException failure = Assert.expectThrows(HttpCallException.class, () -> reply(status).requireOk(URI));
		Assert.assertTrue(failure.getMessage().contains(URI + " returned HTTP status " + status), failure.getMessage());
		Assert.assertFalse(failure.isRefused(), "the call may have taken effect");
	}

	private static HttpReply reply(int status) {
		return new HttpReply(status, "", "", "");
	}

}
