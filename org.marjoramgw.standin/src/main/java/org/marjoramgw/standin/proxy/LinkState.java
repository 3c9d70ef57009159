package org.marjoramgw.standin.proxy;

/**
 * State of a link.
 *
 * @param name its name
 * @param listen where it listens
 * @param target where it connects to
 * @param mode what it does with its connections
 * @param openConnections connections that are open
 * @param bytesUp bytes passed towards the target
 * @param bytesDown bytes passed from the target
 * @author The marjoramgw authors
 */
public record LinkState(String name, String listen, String target, LinkMode mode, int openConnections, long bytesUp,
		long bytesDown) {
}
