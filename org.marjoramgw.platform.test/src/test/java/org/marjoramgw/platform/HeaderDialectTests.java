package org.marjoramgw.platform;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.marjoramgw.direct.backend.ForwardingMetadata;
import org.marjoramgw.direct.backend.ResponseKind;
import org.marjoramgw.direct.caller.CallerRequest;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests {@link HeaderDialect}.
 *
 * @author The marjoramgw authors
 */
public class HeaderDialectTests {

	private static final ForwardingMetadata METADATA = new ForwardingMetadata("i-1", 1_234, Optional.of("coop"), 12,
			Optional.empty());

	private final HeaderDialect dialect = new HeaderDialect();

	@Test
	public void decodesRequestHead() {
		CallerRequest request = this.dialect.decode(HttpRequest.POST("/lohu/2f?x=1")
			.addHeader(RawHeader.create("Host", "carob.example:80"))
			.addHeader(RawHeader.create("X-Request-Id", "r1"))
			.addHeader(RawHeader.create("X-Deadline-Ms", "8000"))
			.addHeader(RawHeader.create("Authorization", "Token abc"))
			.addHeader(RawHeader.create("X-Prompt-Prefix", "5c:800,91:410,e4:250"))
			.addHeader(RawHeader.create("X-Token-Usage", "1460,80")));
		Assert.assertEquals(request.host(), "carob.example");
		Assert.assertEquals(request.path(), "/lohu/2f");
		Assert.assertEquals(request.deadlineMillis().getAsLong(), 8_000);
		Assert.assertEquals(request.key(), Optional.of("abc"));
		Assert.assertEquals(request.sharedPrefixKey(), "91");
		Assert.assertTrue(request.hasPrompt());
		Assert.assertEquals(request.promptTokenCount(), 1_460);
		Assert.assertEquals(request.maxOutputTokenCount(), 80);
	}

	@Test
	public void ignoresMalformedHeaders() {
		CallerRequest request = this.dialect.decode(HttpRequest.GET("/a")
			.addHeader(RawHeader.create("X-Deadline-Ms", "soon"))
			.addHeader(RawHeader.create("Authorization", "Basic abc"))
			.addHeader(RawHeader.create("X-Token-Usage", ","))
			.addHeader(RawHeader.create("X-Prompt-Prefix", "5c,:7,a:b")));
		Assert.assertTrue(request.deadlineMillis().isEmpty());
		Assert.assertTrue(request.key().isEmpty());
		Assert.assertFalse(request.hasPrompt());
		Assert.assertEquals(request.maxOutputTokenCount(), 0);
	}

	@DataProvider
	public Object[][] reservedHeaders() {
		return new Object[][] { { "x-tenant" }, { "X-TENANT" }, { "Authorization" }, { "X-Expect-Instance" },
				{ "X-Request-Priority" }, { "X-Kv-Hold" }, { "X-Pin-Ms" }, { "X-Kv-Backup" }, { "Kv-From" },
				{ "Kv-Fetch" }, { "X-Expect-Version" }, { "Connection" }, { "Keep-Alive" }, { "Transfer-Encoding" } };
	}

	@Test(dataProvider = "reservedHeaders")
	public void callersCantSetReservedHeaders(String name) {
		HttpRequest sent = this.dialect
			.toBackendRequest(HttpRequest.GET("/a").addHeader(RawHeader.create(name, "forged")), METADATA);
		for (HttpHeader header : sent.getHeaders()) {
			Assert.assertFalse(header.value().contains("forged"), header.toString());
		}
	}

	@Test
	public void hostWithMalformedPortIsForwardedWithoutIt() {
		for (String port : new String[] { "x", "", "99999999999", "70000", "-1" }) {
			HttpRequest sent = this.dialect.toBackendRequest(
					HttpRequest.GET("/a").addHeader(RawHeader.create("Host", "carob.example:" + port)), METADATA);
			Assert.assertEquals(sent.getHeader("Host").orElseThrow().value(), "carob.example");
		}
	}

	@Test
	public void removesHeadersNamedByConnectionHeader() {
		HttpRequest sent = this.dialect.toBackendRequest(HttpRequest.GET("/a")
			.addHeader(RawHeader.create("Connection", "close, X-Hop"))
			.addHeader(RawHeader.create("X-Hop", "1"))
			.addHeader(RawHeader.create("X-End", "2")), METADATA);
		Assert.assertTrue(sent.getHeader("X-Hop").isEmpty());
		Assert.assertEquals(value(sent, "X-End"), "2");
		Assert.assertEquals(value(sent, "X-Tenant"), "coop");
		Assert.assertEquals(value(sent, "X-Expect-Instance"), "i-1");
		Assert.assertEquals(value(sent, "X-Deadline-Ms"), "1234");
		Assert.assertEquals(value(sent, "X-Request-Priority"), "9");
	}

	@Test
	public void acceptsDuplicateNamesInConnectionHeader() {
		HttpRequest sent = this.dialect.toBackendRequest(
				HttpRequest.GET("/a").addHeader(RawHeader.create("Connection", "close, close")), METADATA);
		Assert.assertTrue(sent.getHeader("Connection").isEmpty());
	}

	@DataProvider
	public Object[][] responses() {
		return new Object[][] { { 200, Set.of("id", "stamp"), ResponseKind.VALID },
				{ 500, Set.of("id", "stamp"), ResponseKind.SERVER_ERROR },
				{ 200, Set.of("id"), ResponseKind.UNTRUSTED }, { 200, Set.of("stamp"), ResponseKind.UNTRUSTED },
				{ 200, Set.of("other", "stamp"), ResponseKind.UNTRUSTED },
				{ 503, Set.of("id", "not-run"), ResponseKind.NOT_RUN },
				{ 503, Set.of("not-run"), ResponseKind.NOT_RUN }, { 503, Set.of("id"), ResponseKind.UNTRUSTED },
				{ 503, Set.of("id", "stamp"), ResponseKind.UNTRUSTED },
				{ 429, Set.of("id", "stamp"), ResponseKind.UNTRUSTED },
				{ 503, Set.of("other", "not-run"), ResponseKind.UNTRUSTED },
				{ 421, Set.of(), ResponseKind.MISDIRECTED }, { 400, Set.of("id", "not-run"), ResponseKind.NOT_RUN } };
	}

	@Test(dataProvider = "responses")
	public void classifiesResponses(int status, Set<String> marks, ResponseKind kind) {
		HttpResponse response = HttpResponse.create().withStatus(status);
		response = marks.contains("id") ? response.addHeader(RawHeader.create("X-Request-Id", "r1")) : response;
		response = marks.contains("other") ? response.addHeader(RawHeader.create("X-Request-Id", "r2")) : response;
		response = marks.contains("stamp") ? response.addHeader(RawHeader.create("X-Response-Stamp", "s")) : response;
		response = marks.contains("not-run") ? response.addHeader(RawHeader.create("X-Not-Executed", "1")) : response;
		Assert.assertEquals(this.dialect.classify(response, "r1", false), kind);
		ResponseKind kindOnReuse = marks.contains("id") ? kind : ResponseKind.UNTRUSTED;
		Assert.assertEquals(this.dialect.classify(response, "r1", true), kindOnReuse);
	}

	/**
	 * Each row: status, headers besides the one about leaving, its value, and whether it
	 * counts on a new connection and on one that carried requests before.
	 * @return the rows
	 */
	@DataProvider
	public Object[][] leavingResponses() {
		RawHeader ownId = RawHeader.create("X-Request-Id", "r1");
		RawHeader otherId = RawHeader.create("X-Request-Id", "r2");
		RawHeader server = RawHeader.create("X-Instance-Id", "i-1");
		RawHeader otherServer = RawHeader.create("X-Instance-Id", "i-2");
		return new Object[][] { { 200, List.of(ownId), "1", true, true }, { 500, List.of(ownId), "1", true, true },
				{ 503, List.of(ownId), "1", true, true }, { 503, List.of(), "1", true, false },
				{ 200, List.of(otherId), "1", false, false }, { 200, List.of(otherId, server), "1", true, true },
				{ 200, List.of(ownId, otherServer), "1", false, false }, { 421, List.of(ownId), "1", false, false },
				{ 421, List.of(ownId, server), "1", true, true }, { 200, List.of(ownId), "0", false, false },
				{ 200, List.of(ownId), "", false, false } };
	}

	@Test(dataProvider = "leavingResponses")
	public void onlyTheServersOwnNoticeSaysThatItLeaves(int status, List<HttpHeader> headers, String value,
			boolean fresh, boolean reused) {
		HttpResponse response = HttpResponse.create()
			.withStatus(status)
			.addHeaders(headers)
			.addHeader(RawHeader.create("Server-Leaving", value));
		Assert.assertEquals(this.dialect.announcesLeaving(response, "i-1", "r1", false), fresh);
		Assert.assertEquals(this.dialect.announcesLeaving(response, "i-1", "r1", true), reused);
		Assert.assertFalse(this.dialect.announcesLeaving(HttpResponse.create().withStatus(status).addHeaders(headers),
				"i-1", "r1", false));
	}

	@Test
	public void responseThatNamesTwoRequestsOrTwoRunsIsNotTrusted() {
		for (String name : new String[] { "X-Request-Id", "X-Response-Stamp" }) {
			for (int status : new int[] { 200, 503, 421 }) {
				HttpResponse response = HttpResponse.create()
					.withStatus(status)
					.addHeader(RawHeader.create("X-Request-Id", "r1"))
					.addHeader(RawHeader.create("X-Response-Stamp", "s1"))
					.addHeader(RawHeader.create("X-Not-Executed", "1"))
					.addHeader(RawHeader.create(name, "other"));
				Assert.assertEquals(this.dialect.classify(response, "r1", false), ResponseKind.UNTRUSTED);
			}
		}
	}

	private static String value(HttpRequest request, String name) {
		return request.getHeader(name).map(HttpHeader::value).orElse("");
	}

}
