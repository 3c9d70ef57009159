package org.marjoramgw.ctl.internal;

/**
 * Result of the publish command, written as JSON.
 *
 * @param verdict {@code accepted}, {@code conflict} or {@code unknown}
 * @param base revision that the text was based on
 * @param revision revision in force now, 0 if not known
 * @param wonBy operator who published the conflicting revision, or an empty text
 * @author The marjoramgw authors
 */
public record PublishReport(String verdict, long base, long revision, String wonBy) {

	/**
	 * Creates the result of an accepted publication.
	 * @param base revision that the text was based on
	 * @param revision revision of the text
	 * @return the result
	 */
	public static PublishReport accepted(long base, long revision) {
		return new PublishReport("accepted", base, revision, "");
	}

	/**
	 * Creates the result of a publication that was rejected because another revision was
	 * published after its base.
	 * @param base revision that the text was based on
	 * @param revision revision in force
	 * @param wonBy operator who published that revision
	 * @return the result
	 */
	public static PublishReport conflict(long base, long revision, String wonBy) {
		return new PublishReport("conflict", base, revision, wonBy);
	}

	/**
	 * Creates the result of a publication whose outcome is unknown.
	 * @param base revision that the text was based on
	 * @return the result
	 */
	public static PublishReport unknown(long base) {
		return new PublishReport("unknown", base, 0, "");
	}

}
