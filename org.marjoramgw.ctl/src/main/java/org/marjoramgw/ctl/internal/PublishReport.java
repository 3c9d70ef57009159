package org.marjoramgw.ctl.internal;

/**
 * Result of a publish, for programs.
 *
 * @param verdict {@code accepted}, {@code conflict} or {@code unknown}
 * @param base revision that the text was based on
 * @param revision revision in force now, 0 if not known
 * @param wonBy operator who published that revision first, or an empty text
 * @author The marjoramgw authors
 */
public record PublishReport(String verdict, long base, long revision, String wonBy) {

	/**
	 * Creates the result of an accepted text.
	 * @param base revision that it was based on
	 * @param revision its own revision
	 * @return the result
	 */
	public static PublishReport accepted(long base, long revision) {
		return new PublishReport("accepted", base, revision, "");
	}

	/**
	 * Creates the result of a text that came too late.
	 * @param base revision that it was based on
	 * @param revision revision in force
	 * @param wonBy who published that revision
	 * @return the result
	 */
	public static PublishReport conflict(long base, long revision, String wonBy) {
		return new PublishReport("conflict", base, revision, wonBy);
	}

	/**
	 * Creates the result of a publish whose verdict could not be learnt.
	 * @param base revision that the text was based on
	 * @return the result
	 */
	public static PublishReport unknown(long base) {
		return new PublishReport("unknown", base, 0, "");
	}

}
