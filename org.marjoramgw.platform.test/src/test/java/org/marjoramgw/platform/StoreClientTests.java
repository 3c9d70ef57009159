package org.marjoramgw.platform;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigFactory;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.http.javadsl.settings.ClientConnectionSettings;
import org.marjoramgw.direct.follow.AppendableTopic;
import org.marjoramgw.http.HttpConnector;
import org.marjoramgw.http.StrayBytes;
import org.marjoramgw.time.PekkoTimers;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests {@link StoreClient}.
 *
 * @author The marjoramgw authors
 */
public class StoreClientTests {

	private static final long TIMEOUT_SECONDS = 10;

	@DataProvider
	public Object[][] seconds() {
		String second = page(99);
		return new Object[][] { { second }, { "HTTP/1.1 200 O" }, { "HTTP/1.1 410 Gone\r\nX-Note: x" },
				{ second.substring(0, second.length() - 1) } };
	}

	@Test(dataProvider = "seconds")
	public void secondResponseOfTheStoreIsNotTakenForThatToTheNextCall(String second) throws Exception {
		Config config = ConfigFactory.load("direct");
		ActorSystem<Void> system = ActorSystem.create(Behaviors.empty(), "store", config);
		AtomicInteger calls = new AtomicInteger();
		try (ScriptedServer server = new ScriptedServer(
				(request, connection) -> ScriptedServer.write(connection, page(calls.incrementAndGet()) + second))) {
			AppendableTopic topic = new StoreClient(system,
					new HttpConnector(system, ClientConnectionSettings.create(config), StrayBytes.IGNORED),
					new PekkoTimers(system), server.address())
				.topic(StoreClient.OPERATOR_TOPIC);
			for (int call = 1; call <= 5; call++) {
				long endOffset = topic.readLatest("")
					.toCompletableFuture()
					.get(TIMEOUT_SECONDS, TimeUnit.SECONDS)
					.endOffset();
				Assert.assertEquals(endOffset, call);
			}
		}
		finally {
			system.terminate();
		}
	}

	private static String page(int endOffset) {
		String body = "{\"items\":[],\"hasMore\":false,\"end\":" + endOffset + "}";
		return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
	}

}
