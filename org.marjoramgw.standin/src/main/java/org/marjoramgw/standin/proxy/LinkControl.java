package org.marjoramgw.standin.proxy;

/**
 * Faults of a link; a {@code null} leaves a fault unchanged.
 *
 * @param mode how the link handles its connections
 * @param delayMs delay in each direction, in milliseconds
 * @param swallowExisting whether the connections that are open now drop all further
 * bytes, whatever the mode changes to
 * @param cutAfterBytesUp number of further bytes towards the target after which the
 * connection is closed; 0 for no limit
 * @param cutAfterBytesDown number of further bytes from the target after which the
 * connection is closed; 0 for no limit
 * @author The marjoramgw authors
 */
public record LinkControl(LinkMode mode, Long delayMs, Boolean swallowExisting, Long cutAfterBytesUp,
		Long cutAfterBytesDown) {

	/**
	 * Creates a control that changes only the mode.
	 * @param mode the mode
	 * @return the control
	 */
	public static LinkControl of(LinkMode mode) {
		return new LinkControl(mode, null, null, null, null);
	}

}
