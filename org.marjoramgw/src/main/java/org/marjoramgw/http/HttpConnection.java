package org.marjoramgw.http;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.stream.UniqueKillSwitch;
import org.apache.pekko.stream.javadsl.SourceQueueWithComplete;
import org.apache.pekko.util.ByteString;
import org.marjoramgw.HostPort;

/**
 * HTTP client connection that carries one request at a time, without pipelining. This
 * class is thread-safe.
 * <p>
 * The connection is closed if the server sends bytes while no request is outstanding,
 * since they could be mistaken for the response to the next request.
 *
 * @author The marjoramgw authors
 */
public final class HttpConnection implements AutoCloseable {

	private final HostPort address;

	private SourceQueueWithComplete<HttpRequest> requests;

	private UniqueKillSwitch killSwitch;

	private CompletableFuture<HttpResponse> pending;

	private boolean busy;

	private int requestCount;

	private boolean closed;

	HttpConnection(HostPort address) {
		this.address = address;
	}

	/**
	 * Returns the address of the server.
	 * @return the server address
	 */
	public HostPort address() {
		return this.address;
	}

	/**
	 * Sends a request. From this call on, the server may have received it, even if the
	 * returned stage fails with an error of the connection.
	 * @param request the request
	 * @return the response, whose body has yet to be consumed; fails if the connection
	 * ends before a response head was received, or without sending anything if it is
	 * closed or in use
	 */
	public CompletionStage<HttpResponse> send(HttpRequest request) {
		CompletableFuture<HttpResponse> promise = new CompletableFuture<>();
		synchronized (this) {
			if (this.closed || this.busy) {
				return CompletableFuture.failedFuture(new IOException("connection is closed or in use"));
			}
			this.busy = true;
			this.requestCount++;
			this.pending = promise;
		}
		this.requests.offer(request);
		return promise;
	}

	/**
	 * Returns whether this connection carried requests before the latest one. The server
	 * may repeat its response to one of them.
	 * @return whether it was reused
	 */
	public synchronized boolean isReused() {
		return this.requestCount > 1;
	}

	/**
	 * Marks the response as fully consumed, so that the connection can be reused.
	 * @return whether the connection may carry another request
	 */
	public synchronized boolean release() {
		this.busy = false;
		return !this.closed;
	}

	/**
	 * Returns whether the connection can carry a request.
	 * @return whether it is open and idle
	 */
	public synchronized boolean isUsable() {
		return !this.closed && !this.busy;
	}

	/**
	 * Aborts the connection at once, including a response that is still being received.
	 */
	@Override
	public void close() {
		synchronized (this) {
			this.closed = true;
		}
		this.killSwitch.abort(new IOException("connection closed by this process"));
	}

	void onStarted(SourceQueueWithComplete<HttpRequest> requestQueue, UniqueKillSwitch connectionSwitch) {
		this.requests = requestQueue;
		this.killSwitch = connectionSwitch;
	}

	ByteString onBytes(ByteString bytes) throws IOException {
		synchronized (this) {
			if (!this.busy) {
				this.closed = true;
				throw new IOException("unsolicited bytes received from the server");
			}
		}
		return bytes;
	}

	/**
	 * Tells whether a request was sent whose response head has not been received.
	 * @return whether a head is outstanding
	 */
	synchronized boolean isAwaitingHead() {
		return this.pending != null;
	}

	/**
	 * Returns the number of requests sent.
	 * @return the number of requests
	 */
	synchronized int requestCount() {
		return this.requestCount;
	}

	void onResponse(HttpResponse response) {
		CompletableFuture<HttpResponse> promise = takePending();
		if (promise == null || !promise.complete(response)) {
			close();
		}
	}

	void onTermination(Object ignored, Throwable failure) {
		CompletableFuture<HttpResponse> promise;
		synchronized (this) {
			this.closed = true;
			promise = this.pending;
			this.pending = null;
		}
		if (promise != null) {
			promise.completeExceptionally(new IOException("connection ended before a response was received", failure));
		}
	}

	private synchronized CompletableFuture<HttpResponse> takePending() {
		CompletableFuture<HttpResponse> promise = this.pending;
		this.pending = null;
		return promise;
	}

}
