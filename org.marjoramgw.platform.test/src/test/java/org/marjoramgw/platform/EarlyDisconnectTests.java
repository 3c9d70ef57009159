package org.marjoramgw.platform;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.http.javadsl.model.headers.RawRequestURI;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;
import org.marjoramgw.direct.caller.CallerConnection;
import org.marjoramgw.direct.caller.CallerRequest;
import org.marjoramgw.direct.quarantine.PassingGuard;
import org.marjoramgw.time.ClockReading;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests requests whose callers disconnect while their bodies are read.
 *
 * @author The marjoramgw authors
 */
public class EarlyDisconnectTests {

	private static final int WAIT_SECONDS = 10;

	private static final ClockReading NOW = new ClockReading(System.currentTimeMillis(), System.currentTimeMillis());

	private final AtomicInteger openWatches = new AtomicInteger();

	@Test
	public void nothingIsHeldForCallerThatLeftDuringItsBody() throws Exception {
		CompletableFuture<ByteString> body = new CompletableFuture<>();
		HttpRequest request = HttpRequest.POST("/stream/1")
			.addHeader(RawRequestURI.create("/stream/1"))
			.addHeader(RawHeader.create("Host", "carob.example"))
			.addHeader(RawHeader.create("Authorization", "Token key-1"))
			.addHeader(RawHeader.create("X-Prompt-Prefix", "a:10,b:10"))
			.withEntity(HttpEntities.create(ContentTypes.APPLICATION_OCTET_STREAM, 4, Source.completionStage(body)));
		try (ScriptedServer server = new ScriptedServer((received, connection) -> false);
				ForwardingFixture fixture = new ForwardingFixture((connector, health, timers) -> new CountingGuard(),
						server)) {
			CallerConnection connection = new CallerConnection(new FakeCallerSocket(NOW, true));
			CompletionStage<HttpResponse> response = fixture.forwarder().handle(request, connection);
			connection.onClosedByCaller();
			body.complete(ByteString.fromString("body"));
			response.toCompletableFuture().get(WAIT_SECONDS, TimeUnit.SECONDS);
			Assert.assertEquals(this.openWatches.get(), 0);
			Assert.assertEquals(fixture.forwarder().openCount(), 0);
			Assert.assertEquals(server.requests().size(), 0);
		}
	}

	private final class CountingGuard extends PassingGuard {

		@Override
		public Watch watch(CallerRequest request, Runnable onQuarantined) {
			EarlyDisconnectTests.this.openWatches.incrementAndGet();
			return EarlyDisconnectTests.this.openWatches::decrementAndGet;
		}

	}

}
