package org.marjoramgw.http;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.apache.pekko.http.javadsl.model.HttpMethods;
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
 * A response is bound to its request by the time of its bytes: they come after the
 * request was begun to be written and not behind the end of the response. After any other
 * byte the connection carries no further request, since that byte could be mistaken for
 * the response to it. A connection carries each request id once, since a server may
 * repeat its response.
 *
 * @author The marjoramgw authors
 */
public final class HttpConnection implements AutoCloseable {

	private final HostPort address;

	private final StrayBytes strayBytes;

	private final CarriedIds carriedIds = new CarriedIds();

	private SourceQueueWithComplete<HttpRequest> requests;

	private UniqueKillSwitch killSwitch;

	private CompletableFuture<HttpResponse> pending;

	private boolean busy;

	private int requestCount;

	private String requestId = "";

	private ResponseFrame responseFrame;

	/** Whether bytes of the latest request may have been sent. */
	private boolean requestBegun;

	/** Whether bytes of it are left that the operating system has not taken. */
	private boolean requestPending;

	private boolean closed;

	HttpConnection(HostPort address, StrayBytes strayBytes) {
		this.address = address;
		this.strayBytes = strayBytes;
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
	 * @param id id of the request, by which its response is recognized, one character for
	 * each byte; may be empty
	 * @return the response, whose body has yet to be consumed; fails if the connection
	 * ends before a response head was received, or without sending anything if it is
	 * closed, in use, or has carried the id
	 */
	public CompletionStage<HttpResponse> send(HttpRequest request, String id) {
		CompletableFuture<HttpResponse> promise = new CompletableFuture<>();
		synchronized (this) {
			if (!isUsableFor(id)) {
				return CompletableFuture.failedFuture(new IOException("connection is closed or in use"));
			}
			this.busy = true;
			this.requestBegun = false;
			this.requestId = id;
			this.carriedIds.add(id);
			this.responseFrame = new ResponseFrame(request.method().equals(HttpMethods.HEAD), id);
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
		this.closed |= !this.responseFrame.isComplete();
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
	 * Returns whether the connection can carry a request with an id.
	 * @param id the id; may be empty
	 * @return whether it is open and idle and has carried no request with the id
	 */
	public synchronized boolean isUsableFor(String id) {
		return isUsable() && this.carriedIds.mayAdd(id);
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

	/**
	 * Called before bytes of the request are written.
	 */
	synchronized void onWriting() {
		this.requestBegun = true;
		this.requestPending = true;
	}

	/**
	 * Called when the operating system has taken the bytes that were written last.
	 */
	synchronized void onWritten() {
		this.requestPending = false;
	}

	/**
	 * Tells whether the end of the connection is the end of a response. A server that
	 * crashes ends its connections too. While the request is being written, it isn't
	 * known which of both happened unless the response has an end of its own.
	 * @return whether the response may be taken for complete
	 */
	synchronized boolean mayEndResponse() {
		return !this.requestPending || this.responseFrame == null || this.responseFrame.isComplete();
	}

	/**
	 * Takes received bytes.
	 * @param bytes the bytes
	 * @return those that belong to the response, as the parser needs them; may be empty
	 * @throws IOException if there can't be a response, or not a valid one
	 */
	ByteString onBytes(ByteString bytes) throws IOException {
		StrayBytes.Place place;
		String reason = "no response is due";
		String id;
		ByteString responseBytes = ByteString.emptyByteString();
		synchronized (this) {
			id = this.requestId;
			place = this.busy ? StrayBytes.Place.BEFORE_REQUEST : StrayBytes.Place.IDLE;
			if (this.busy && this.requestBegun) {
				try {
					int count = this.responseFrame.accept(bytes);
					responseBytes = this.responseFrame.toParser(bytes.take(count));
					if (count == bytes.size()) {
						return responseBytes;
					}
					place = StrayBytes.Place.BEHIND_RESPONSE;
				}
				catch (IOException ex) {
					place = StrayBytes.Place.INSIDE_RESPONSE;
					reason = ex.getMessage();
				}
			}
			this.closed = true;
		}
		this.strayBytes.onStrayBytes(this.address, place, id);
		if (place != StrayBytes.Place.BEHIND_RESPONSE) {
			throw new IOException("stray bytes received from the server: " + place + ", " + reason);
		}
		return responseBytes;
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
