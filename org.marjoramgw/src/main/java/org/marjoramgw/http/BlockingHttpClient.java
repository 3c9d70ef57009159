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
 * Blocking HTTP client for small JSON bodies. Each call blocks its thread until the whole
 * response has been read, so callers need a thread that may block.
 *
 * @author The marjoramgw authors
 */
public final class BlockingHttpClient {

	/** Start of Pekko's message for a TCP connection that could not be opened. */
	private static final String CONNECT_FAILED_PREFIX = "Tcp command [Connect(";

	private final ActorSystem<?> system;

	private final long timeoutMillis;

	private final String bearerToken;

	private final ConnectionPoolSettings poolSettings;

	/**
	 * Creates a client.
	 * @param system actor system that runs the requests
	 * @param timeoutMillis timeout of one call, in milliseconds
	 * @param bearerToken bearer token to send, or an empty string for none
	 */
	public BlockingHttpClient(ActorSystem<?> system, long timeoutMillis, String bearerToken) {
		this.system = system;
		this.timeoutMillis = timeoutMillis;
		this.bearerToken = bearerToken;
		this.poolSettings = newPoolSettings(system, timeoutMillis);
	}

	/**
	 * Sends a GET request.
	 * @param uri the absolute URI
	 * @return the response
	 * @throws HttpCallException if no complete response was received
	 */
	public HttpReply get(String uri) throws HttpCallException {
		return execute(HttpRequest.GET(uri));
	}

	/**
	 * Sends a conditional GET request, which returns the body only if it changed.
	 * @param uri the absolute URI
	 * @param etag entity tag of the cached body, or an empty string for an unconditional
	 * request
	 * @return the response, with status 304 and no body if nothing changed
	 * @throws HttpCallException if no complete response was received
	 */
	public HttpReply getIfChanged(String uri, String etag) throws HttpCallException {
		HttpRequest request = HttpRequest.GET(uri);
		return execute(etag.isEmpty() ? request : request.addHeader(RawHeader.create("If-None-Match", etag)));
	}

	/**
	 * Sends a POST request with a JSON body.
	 * @param uri the absolute URI
	 * @param json the request body
	 * @return the response
	 * @throws HttpCallException if no complete response was received
	 */
	public HttpReply post(String uri, String json) throws HttpCallException {
		return execute(HttpRequest.POST(uri).withEntity(ContentTypes.APPLICATION_JSON, json));
	}

	/**
	 * Sends a PUT request with a JSON body.
	 * @param uri the absolute URI
	 * @param json the request body
	 * @return the response
	 * @throws HttpCallException if no complete response was received
	 */
	public HttpReply put(String uri, String json) throws HttpCallException {
		return execute(HttpRequest.PUT(uri).withEntity(ContentTypes.APPLICATION_JSON, json));
	}

	/**
	 * Sends a DELETE request.
	 * @param uri the absolute URI
	 * @return the response
	 * @throws HttpCallException if no complete response was received
	 */
	public HttpReply delete(String uri) throws HttpCallException {
		return execute(HttpRequest.create(uri).withMethod(HttpMethods.DELETE));
	}

	private static ConnectionPoolSettings newPoolSettings(ActorSystem<?> system, long timeoutMillis) {
		// The idle timeout equals the call timeout, so a stalled connection is closed
		// when the call on it times out, and unused pooled ones no later. Otherwise each
		// of the next calls could time out on another stalled connection.
		ClientConnectionSettings connection = ClientConnectionSettings.create(system.classicSystem())
			.withIdleTimeout(Duration.create(timeoutMillis, TimeUnit.MILLISECONDS));
		return ConnectionPoolSettings.create(system.classicSystem())
			.withConnectionSettings(connection)
			.withTransport(new FramedTransport());
	}

	private HttpReply execute(HttpRequest request) throws HttpCallException {
		HttpRequest authorized = this.bearerToken.isEmpty() ? request
				: request.addCredentials(HttpCredentials.createOAuth2BearerToken(this.bearerToken));
		try {
			return Http.get(this.system)
				.singleRequest(authorized, Http.get(this.system).defaultClientHttpsContext(), this.poolSettings,
						this.system.classicSystem().log())
				.thenCompose(this::readFully)
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
		// The failure of an established connection has the same exception type, but then
		// part of the request may have been sent.
		return cause instanceof StreamTcpException && cause.getMessage().startsWith(CONNECT_FAILED_PREFIX);
	}

	private CompletionStage<HttpReply> readFully(HttpResponse response) {
		return response.entity()
			.toStrict(this.timeoutMillis, this.system)
			.thenApply((entity) -> new HttpReply(response.status().intValue(), entity.getContentType().toString(),
					entity.getData().decodeString(StandardCharsets.UTF_8), etag(response)));
	}

}
