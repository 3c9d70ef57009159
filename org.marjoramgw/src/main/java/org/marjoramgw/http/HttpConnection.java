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
 * Open HTTP connection that carries one request at a time; thread-safe.
 * <p>
 * A connection on which bytes arrive that no request asked for is closed, since they
 * could be taken for the next answer.
 *
 * @author The marjoramgw authors
 */
public final class HttpConnection implements AutoCloseable {

	private final HostPort address;

	private SourceQueueWithComplete<HttpRequest> requests;

	private UniqueKillSwitch killSwitch;

	private CompletableFuture<HttpResponse> pending;

	private boolean busy;

	private boolean closed;

	HttpConnection(HostPort address) {
		this.address = address;
	}

	/**
	 * Returns the address of the server.
	 * @return the address
	 */
	public HostPort address() {
		return this.address;
	}

	/**
	 * Sends a request. It may have reached the server as soon as this method is called.
	 * @param request the request
	 * @return the answer, whose body is still to be read; fails if the connection ends
	 * before the head of an answer has come
	 */
	public CompletionStage<HttpResponse> send(HttpRequest request) {
		CompletableFuture<HttpResponse> answer = new CompletableFuture<>();
		synchronized (this) {
			if (this.closed || this.busy) {
				return CompletableFuture.failedFuture(new IOException("connection is closed or in use"));
			}
			this.busy = true;
			this.pending = answer;
		}
		this.requests.offer(request);
		return answer;
	}

	/**
	 * Notes that the answer was read to its end.
	 * @return whether the connection may carry another request
	 */
	public synchronized boolean release() {
		this.busy = false;
		return !this.closed;
	}

	/**
	 * Tells whether the connection can carry a request.
	 * @return whether it is open and unused
	 */
	public synchronized boolean isUsable() {
		return !this.closed && !this.busy;
	}

	/**
	 * Ends the connection at once, and with it an answer that is under way.
	 */
	@Override
	public void close() {
		synchronized (this) {
			this.closed = true;
		}
		this.killSwitch.abort(new IOException("connection closed by this process"));
	}

	void onStarted(SourceQueueWithComplete<HttpRequest> queue, UniqueKillSwitch bytes) {
		this.requests = queue;
		this.killSwitch = bytes;
	}

	ByteString onBytes(ByteString bytes) throws IOException {
		synchronized (this) {
			if (!this.busy) {
				this.closed = true;
				throw new IOException("bytes that no request asked for");
			}
		}
		return bytes;
	}

	void onResponse(HttpResponse response) {
		CompletableFuture<HttpResponse> answer = takePending();
		if (answer == null || !answer.complete(response)) {
			close();
		}
	}

	void onEnd(Object ignored, Throwable failure) {
		CompletableFuture<HttpResponse> answer;
		synchronized (this) {
			this.closed = true;
			answer = this.pending;
			this.pending = null;
		}
		if (answer != null) {
			answer.completeExceptionally(new IOException("connection ended before an answer", failure));
		}
	}

	private synchronized CompletableFuture<HttpResponse> takePending() {
		CompletableFuture<HttpResponse> answer = this.pending;
		this.pending = null;
		return answer;
	}

}
