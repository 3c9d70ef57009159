package org.marjoramgw.standin.proxy;

/**
 * Faults of a link; a {@code null} leaves a fault as it is.
 *
 * @param mode what the link does with its connections
 * @param delayMs delay of each way, in milliseconds
 * @param swallowExisting whether the connections that are open now go silent for good
 * @param cutAfterBytesUp closes a connection after so many more bytes towards the target;
 * 0 for never
 * @param cutAfterBytesDown closes a connection after so many more bytes from the target;
 * 0 for never
 * @author The marjoramgw authors
 */
public record LinkControl(LinkMode mode, Long delayMs, Boolean swallowExisting, Long cutAfterBytesUp,
		Long cutAfterBytesDown) {

	/**
	 * Changes the mode alone.
	 * @param mode the mode
	 * @return the change
	 */
	public static LinkControl of(LinkMode mode) {
		return new LinkControl(mode, null, null, null, null);
	}

}
