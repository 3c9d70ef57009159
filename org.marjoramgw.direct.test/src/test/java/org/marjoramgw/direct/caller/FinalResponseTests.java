package org.marjoramgw.direct.caller;

import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests {@link FinalResponse}.
 *
 * @author The marjoramgw authors
 */
public class FinalResponseTests {

	private static final String HEAD = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.5\r\n"
			+ "Content-Type: application/json\r\nContent-Length: 2\r\nConnection: close\r\n\r\n";

	private final HttpResponse response = HttpResponse.create()
		.withStatus(503)
		.addHeader(RawHeader.create("Retry-After", "0.5"))
		.withEntity(ContentTypes.APPLICATION_JSON, "{}");

	@Test
	public void rendersTheWholeResponse() {
		Assert.assertEquals(FinalResponse.render(this.response, false).utf8String(), HEAD + "{}");
	}

	@Test
	public void responseToHeadHasNoBody() {
		Assert.assertEquals(FinalResponse.render(this.response, true).utf8String(), HEAD);
	}

}
