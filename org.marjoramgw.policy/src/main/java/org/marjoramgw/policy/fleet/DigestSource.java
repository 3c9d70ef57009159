package org.marjoramgw.policy.fleet;

/**
 * Source of the digests that this process sends.
 *
 * @author The marjoramgw authors
 */
public interface DigestSource {

	/**
	 * Returns the next digest.
	 * @param complete whether it has the rows that didn't change as well
	 * @return the digest
	 */
	Digest next(boolean complete);

}
