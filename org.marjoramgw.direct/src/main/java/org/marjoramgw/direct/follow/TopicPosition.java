package org.marjoramgw.direct.follow;

/**
 * Position in a topic.
 * <p>
 * A store that was restored from a copy gives offsets out again, and raises its era. So
 * an offset is a position only together with the era in which it was read.
 *
 * @param era era of the store, or {@link #NO_ERA}
 * @param offset offset of the next record
 * @author The marjoramgw authors
 */
public record TopicPosition(long era, long offset) {

	/** Era of a store that names none. */
	public static final long NO_ERA = 0;

	@Override
	public String toString() {
		return "era=" + this.era + " offset=" + this.offset;
	}

}
