package org.marjoramgw.http;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.HttpCredentials;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.http.javadsl.settings.ClientConnectionSettings;
import org.apache.pekko.http.javadsl.settings.ConnectionPoolSettings;
import org.apache.pekko.stream.StreamTcpException;
import org.marjoramgw.errors.HttpCallException;
import scala.concurrent.duration.Duration;

/**
 * Blocking HTTP client for small JSON bodies; calls belong on a thread of their own.
 *
 * @author The marjoramgw authors
 */
public final class BlockingHttpClient {

	private static final String CONNECT_FAILED = "Tcp command [Connect(";

	private final ActorSystem<?> system;

	private final long timeoutMillis;

	private final String token;

	private final ConnectionPoolSettings pool;

	/**
	 * Creates a client.
	 * @param system the actor system that runs the calls
	 * @param timeoutMillis time limit of one call, in milliseconds
	 * @param token bearer token to send, or an empty text
	 */
	public BlockingHttpClient(ActorSystem<?> system, long timeoutMillis, String token) {
		this.system = system;
		this.timeoutMillis = timeoutMillis;
		this.token = token;
		this.pool = poolSettings(system, timeoutMillis);
	}

	/**
	 * Sends a GET.
	 * @param uri the absolute URI
	 * @return the answer
	 * @throws HttpCallException if no answer came
	 */
	public HttpReply get(String uri) throws HttpCallException {
		return call(HttpRequest.GET(uri));
	}

	/**
	 * Sends a GET that asks for the body only if it changed.
	 * @param uri the absolute URI
	 * @param etag entity tag of the body that is known, or an empty text
	 * @return the answer, with status 304 and no body if nothing changed
	 * @throws HttpCallException if no answer came
	 */
	public HttpReply getIfChanged(String uri, String etag) throws HttpCallException {
		HttpRequest request = HttpRequest.GET(uri);
		return call(etag.isEmpty() ? request : request.addHeader(RawHeader.create("If-None-Match", etag)));
	}

	/**
	 * Sends a POST with a JSON body.
	 * @param uri the absolute URI
	 * @param json the body
	 * @return the answer
	 * @throws HttpCallException if no answer came
	 */
	public HttpReply post(String uri, String json) throws HttpCallException {
		return call(HttpRequest.POST(uri).withEntity(ContentTypes.APPLICATION_JSON, json));
	}

	/**
	 * Sends a PUT with a JSON body.
	 * @param uri the absolute URI
	 * @param json the body
	 * @return the answer
	 * @throws HttpCallException if no answer came
	 */
	public HttpReply put(String uri, String json) throws HttpCallException {
		return call(HttpRequest.PUT(uri).withEntity(ContentTypes.APPLICATION_JSON, json));
	}

	/**
	 * Sends a DELETE.
	 * @param uri the absolute URI
	 * @return the answer
	 * @throws HttpCallException if no answer came
	 */
	public HttpReply delete(String uri) throws HttpCallException {
		return call(HttpRequest.create(uri).withMethod(HttpMethods.DELETE));
	}

	private static ConnectionPoolSettings poolSettings(ActorSystem<?> system, long timeoutMillis) {
		// A connection that went silent is closed with the call that met it, idle ones as
		// soon; otherwise the next calls would wait for one such connection after
		// another.
		ClientConnectionSettings connection = ClientConnectionSettings.create(system.classicSystem())
			.withIdleTimeout(Duration.create(timeoutMillis, TimeUnit.MILLISECONDS));
		return ConnectionPoolSettings.create(system.classicSystem()).withConnectionSettings(connection);
	}

	private HttpReply call(HttpRequest request) throws HttpCallException {
		HttpRequest sent = this.token.isEmpty() ? request
				: request.addCredentials(HttpCredentials.createOAuth2BearerToken(this.token));
		try {
			return Http.get(this.system)
				.singleRequest(sent, Http.get(this.system).defaultClientHttpsContext(), this.pool,
						this.system.classicSystem().log())
				.thenCompose(this::strict)
				.toCompletableFuture()
				.get(this.timeoutMillis, TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new HttpCallException(request.getUri().toString(), false, ex);
		}
		catch (ExecutionException | TimeoutException ex) {
			throw new HttpCallException(request.getUri().toString(), isConnectFailure(ex.getCause()), ex);
		}
	}

	private static String etag(HttpResponse response) {
		return response.getHeader("ETag").map(HttpHeader::value).orElse("");
	}

	private static boolean isConnectFailure(Throwable cause) {
		// The break of an open connection has the same type, but something may have been
		// sent.
		return cause instanceof StreamTcpException && cause.getMessage().startsWith(CONNECT_FAILED);
	}

	private CompletionStage<HttpReply> strict(HttpResponse response) {
		return response.entity()
			.toStrict(this.timeoutMillis, this.system)
			.thenApply((entity) -> new HttpReply(response.status().intValue(), entity.getContentType().toString(),
					entity.getData().decodeString(StandardCharsets.UTF_8), etag(response)));
	}

}
