package org.marjoramgw.http;

import org.apache.pekko.NotUsed;
import org.apache.pekko.stream.TLSProtocol;
import org.apache.pekko.stream.javadsl.BidiFlow;
import org.apache.pekko.stream.javadsl.TLSPlacebo;
import org.apache.pekko.util.ByteString;

/**
 * Stands where encryption would be in the layers of an HTTP connection.
 *
 * @author The marjoramgw authors
 */
public final class PlainBytes {

	private PlainBytes() {
	}

	/**
	 * Returns the layer between HTTP messages and plain bytes.
	 * @return the layer
	 */
	@SuppressWarnings("unchecked")
	public static BidiFlow<TLSProtocol.SslTlsOutbound, ByteString, ByteString, TLSProtocol.SslTlsInbound, NotUsed> layer() {
		// Elements that flow out are only read, so the wider type is safe.
		return (BidiFlow<TLSProtocol.SslTlsOutbound, ByteString, ByteString, TLSProtocol.SslTlsInbound, NotUsed>) (BidiFlow<?, ?, ?, ?, ?>) TLSPlacebo
			.getInstance();
	}

}
