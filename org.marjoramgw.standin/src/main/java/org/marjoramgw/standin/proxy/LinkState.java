package org.marjoramgw.standin.proxy;

/**
 * State of a link.
 *
 * @param name name of the link
 * @param listen address that it listens on
 * @param target address that it connects to
 * @param mode how it handles its connections
 * @param openConnections number of open connections
 * @param bytesUp number of bytes forwarded towards the target
 * @param bytesDown number of bytes forwarded from the target
 * @author The marjoramgw authors
 */
public record LinkState(String name, String listen, String target, LinkMode mode, int openConnections, long bytesUp,
		long bytesDown) {
}
