package org.marjoramgw.http;

import org.apache.pekko.NotUsed;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.settings.ServerSettings;
import org.apache.pekko.stream.TLSProtocol;
import org.apache.pekko.stream.javadsl.BidiFlow;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.util.ByteString;

/**
 * Protocol layers of HTTP connections without TLS.
 * <p>
 * This replaces Pekko's own {@code TLSPlacebo}, which creates a session of the default
 * TLS context in each process and thus reads all trusted certificates at startup.
 *
 * @author The marjoramgw authors
 */
public final class PlaintextLayers {

	private PlaintextLayers() {
	}

	/**
	 * Returns the layer that takes the place of TLS and passes bytes through unchanged.
	 * @return the layer
	 */
	public static BidiFlow<TLSProtocol.SslTlsOutbound, ByteString, ByteString, TLSProtocol.SslTlsInbound, NotUsed> tlsPlacebo() {
		Flow<TLSProtocol.SslTlsOutbound, ByteString, NotUsed> out = Flow.<TLSProtocol.SslTlsOutbound>create()
			.map(PlaintextLayers::bytesOf);
		Flow<ByteString, TLSProtocol.SslTlsInbound, NotUsed> in = Flow.<ByteString>create()
			.map((bytes) -> new TLSProtocol.SessionBytes(null, bytes));
		return BidiFlow.fromFlows(out, in);
	}

	/**
	 * Creates the protocol layers of an HTTP server without TLS.
	 * @param system the actor system
	 * @param settings parser and connection settings of the server
	 * @return the layers between HTTP messages and bytes, reusable for any number of
	 * connections
	 */
	public static BidiFlow<HttpResponse, ByteString, ByteString, HttpRequest, NotUsed> serverLayer(
			ActorSystem<?> system, ServerSettings settings) {
		LibraryClasses.initialize();
		BidiFlow<HttpResponse, TLSProtocol.SslTlsOutbound, TLSProtocol.SslTlsInbound, HttpRequest, NotUsed> httpLayer = Http
			.get(system)
			.serverLayer(settings);
		return httpLayer.atop(tlsPlacebo());
	}

	private static ByteString bytesOf(TLSProtocol.SslTlsOutbound message) {
		// The other message type asks to renegotiate TLS, which doesn't apply here.
		return (message instanceof TLSProtocol.SendBytes) ? ((TLSProtocol.SendBytes) message).bytes()
				: ByteString.emptyByteString();
	}

}
