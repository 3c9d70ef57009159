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
 * Stands where encryption would be in the layers of an HTTP connection.
 * <p>
 * The library's own stand-in makes a session of the default TLS context for each process,
 * which reads all trusted certificates at the start.
 *
 * @author The marjoramgw authors
 */
public final class PlaintextLayers {

	private PlaintextLayers() {
	}

	/**
	 * Returns the layer between HTTP messages and plain bytes.
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
	 * Builds the layers of a server's connections.
	 * @param system the actor system
	 * @param settings how requests are parsed
	 * @return the layers between answers and requests and plain bytes, for any number of
	 * connections
	 */
	public static BidiFlow<HttpResponse, ByteString, ByteString, HttpRequest, NotUsed> serverLayer(
			ActorSystem<?> system, ServerSettings settings) {
		BidiFlow<HttpResponse, TLSProtocol.SslTlsOutbound, TLSProtocol.SslTlsInbound, HttpRequest, NotUsed> messages = Http
			.get(system)
			.serverLayer(settings);
		return messages.atop(tlsPlacebo());
	}

	private static ByteString bytesOf(TLSProtocol.SslTlsOutbound message) {
		// Other messages ask for a new TLS session, of which there is none.
		return (message instanceof TLSProtocol.SendBytes) ? ((TLSProtocol.SendBytes) message).bytes()
				: ByteString.emptyByteString();
	}

}
