package org.marjoramgw.http;

import java.io.IOException;
import java.util.concurrent.CompletionStage;

import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.ClientTransport;
import org.apache.pekko.http.javadsl.OutgoingConnection;
import org.apache.pekko.http.javadsl.settings.ClientConnectionSettings;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Keep;
import org.apache.pekko.util.ByteString;

/**
 * Connections of a pool of the HTTP library that end when the server sends bytes that
 * belong to no response, which the library would take for the response to the next
 * request. They carry one request at a time and none with the method {@code HEAD}.
 *
 * @author The marjoramgw authors
 */
final class FramedTransport extends ClientTransport {

	@Override
	public Flow<ByteString, ByteString, CompletionStage<OutgoingConnection>> connectTo(String host, int port,
			ClientConnectionSettings settings, ActorSystem system) {
		return Flow.fromMaterializer((materializer, attributes) -> {
			Frames frames = new Frames();
			return Flow.<ByteString>create()
				.map(frames::onRequestBytes)
				.viaMat(ClientTransport.TCP().connectTo(host, port, settings, system), Keep.right())
				.map(frames::onBytes)
				.takeWhile((bytes) -> !frames.hasEnded(), true);
		}).mapMaterializedValue((connection) -> connection.thenCompose((opened) -> opened));
	}

	private static final class Frames {

		private ResponseFrame frame;

		private boolean ended;

		private synchronized ByteString onRequestBytes(ByteString bytes) {
			if (this.frame == null || this.frame.isComplete()) {
				this.frame = new ResponseFrame(false, "");
			}
			return bytes;
		}

		private synchronized ByteString onBytes(ByteString bytes) throws IOException {
			if (this.frame == null || this.frame.isComplete()) {
				throw new IOException("stray bytes received from the server");
			}
			int responseBytes = this.frame.accept(bytes);
			this.ended = responseBytes < bytes.size();
			return this.frame.toParser(bytes.take(responseBytes));
		}

		private synchronized boolean hasEnded() {
			return this.ended;
		}

	}

}
