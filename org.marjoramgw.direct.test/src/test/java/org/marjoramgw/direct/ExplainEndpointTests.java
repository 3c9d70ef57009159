package org.marjoramgw.direct;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import org.apache.pekko.http.javadsl.model.HttpEntity;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.marjoramgw.direct.caller.CallerRequest;
import org.marjoramgw.direct.model.PromptPart;
import org.marjoramgw.operator.WhereReport;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests {@link ExplainEndpoint}.
 *
 * @author The marjoramgw authors
 */
public class ExplainEndpointTests {

	private static final String PREFIX = "http://edge-1/explain?";

	private static final WhereReport REPORT = new WhereReport("edge-1", 7, 12, null, null, null, null, null, 0,
			List.of());

	/** Guards against parameters that are lost or decoded wrongly. */
	@Test
	public void decodesDescription() {
		AtomicReference<CallerRequest> described = new AtomicReference<>();
		AtomicReference<List<Optional<String>>> options = new AtomicReference<>();
		ExplainEndpoint endpoint = new ExplainEndpoint((request, account, service) -> {
			described.set(request);
			options.set(List.of(account, service));
			return REPORT;
		});
		HttpResponse response = endpoint.respond(HttpRequest.GET(PREFIX + "host=a.example:80&path=/x/%C3%A9%20y?q=1"
				+ "&key=k%2B1&model=m&part=a:b:300&part=own:20&prompt_tokens=400&deadline_ms=700&account=coop"
				+ "&service=s"));
		Assert.assertEquals(response.status().intValue(), 200);
		Assert.assertEquals(body(response),
				"{\"process\":\"edge-1\",\"config_version\":7,\"config_age_ms\":12,"
						+ "\"refusal\":null,\"match\":null,\"choice\":null,\"turn\":null,\"permit\":null,"
						+ "\"server_count\":0,\"servers\":[]}");
		Assert.assertEquals(described.get(),
				new CallerRequest("explained", "a.example", "/x/é y", OptionalLong.of(700), Optional.of("k+1"), "m",
						List.of(new PromptPart("a:b", 300), new PromptPart("own", 20)), 400, 0, Optional.empty()));
		Assert.assertEquals(options.get(), List.of(Optional.of("coop"), Optional.of("s")));
	}

	@DataProvider
	public Object[][] mistakes() {
		return new Object[][] { { "", "host is missing" }, { "host=a&key=secret", "path is missing" },
				{ "host=a&path=/x&part=p", "part needs the form ID:TOKENS" },
				{ "host=a&path=/x&part=p:-1", "part needs a whole number of at least 0" },
				{ "host=a&path=/x&deadline_ms=soon&key=secret", "deadline_ms needs a whole number of at least 0" },
				{ "host=a&path=/x&service=other", "no such service" } };
	}

	/** Guards against an internal error, or a key in the reason. */
	@Test(dataProvider = "mistakes")
	public void tellsMistakes(String query, String reason) {
		ExplainEndpoint endpoint = new ExplainEndpoint((request, account, service) -> {
			throw new IllegalArgumentException("no such service");
		});
		HttpResponse response = endpoint.respond(HttpRequest.GET(PREFIX + query));
		Assert.assertEquals(response.status().intValue(), 400);
		Assert.assertEquals(body(response), reason + "\n");
	}

	@Test
	public void takesOnlyGet() {
		Assert.assertEquals(new ExplainEndpoint((request, account, service) -> REPORT)
			.respond(HttpRequest.POST(PREFIX + "host=a&path=/x"))
			.status()
			.intValue(), 405);
	}

	/** Guards against explanations that take the processor time of callers. */
	@Test
	public void explainsOneAtATime() throws Exception {
		CountDownLatch begun = new CountDownLatch(1);
		CountDownLatch mayEnd = new CountDownLatch(1);
		ExplainEndpoint endpoint = new ExplainEndpoint((request, account, service) -> {
			begun.countDown();
			await(mayEnd);
			return REPORT;
		});
		HttpRequest request = HttpRequest.GET(PREFIX + "host=a&path=/x");
		CompletableFuture<HttpResponse> first = CompletableFuture.supplyAsync(() -> endpoint.respond(request));
		await(begun);
		Assert.assertEquals(endpoint.respond(request).status().intValue(), 503);
		mayEnd.countDown();
		Assert.assertEquals(first.get(5, TimeUnit.SECONDS).status().intValue(), 200);
		Assert.assertEquals(endpoint.respond(request).status().intValue(), 200);
	}

	private static void await(CountDownLatch latch) {
		try {
			Assert.assertTrue(latch.await(5, TimeUnit.SECONDS));
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static String body(HttpResponse response) {
		return ((HttpEntity.Strict) response.entity()).getData().utf8String();
	}

}
