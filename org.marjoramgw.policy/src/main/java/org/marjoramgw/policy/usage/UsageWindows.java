package org.marjoramgw.policy.usage;

/**
 * Windows of time for which usage is reported. Window k begins k times its length after
 * the start of 1970.
 *
 * @param lengthMillis length of a window, in milliseconds
 * @param dueMillis time after the end of a window at which its report is due, in
 * milliseconds
 * @author The marjoramgw authors
 */
public record UsageWindows(long lengthMillis, long dueMillis) {

	/**
	 * Share of the time until a report is due after which its content is fixed. The rest
	 * is left to the call and to a change of the holder.
	 */
	private static final double RECORD_SHARE = 0.55;

	/**
	 * Share of the time until a report is due in which all processes share their counts;
	 * what remains until the content is fixed is left to repeated appends.
	 */
	private static final double SHARE_SHARE = 0.25;

	/**
	 * Returns the window of a moment.
	 * @param timeMillis the moment, in milliseconds since the Unix epoch
	 * @return number of the window
	 */
	public long at(long timeMillis) {
		return Math.floorDiv(timeMillis, this.lengthMillis);
	}

	/**
	 * Returns the end of a window.
	 * @param window number of the window
	 * @return the end, in milliseconds since the Unix epoch
	 */
	public long endMillis(long window) {
		return (window + 1) * this.lengthMillis;
	}

	/**
	 * Returns the latest window whose content may be fixed.
	 * @param timeMillis the present time, in milliseconds since the Unix epoch
	 * @return number of the window
	 */
	public long lastComplete(long timeMillis) {
		return at(timeMillis - (long) (RECORD_SHARE * this.dueMillis)) - 1;
	}

	/**
	 * Returns how long after the start of each window a process shares its counts.
	 * @param position position of the process among all, from 0 to 1
	 * @return the time in milliseconds
	 */
	public long shareMillis(double position) {
		return (long) (position * Math.min(this.lengthMillis, SHARE_SHARE * this.dueMillis));
	}

}
