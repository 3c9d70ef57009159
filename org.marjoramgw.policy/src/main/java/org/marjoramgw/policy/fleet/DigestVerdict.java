package org.marjoramgw.policy.fleet;

/**
 * Decision on a received digest.
 *
 * @author The marjoramgw authors
 */
public enum DigestVerdict {

	/** It is used. */
	ACCEPTED,

	/** It names this process as its sender. */
	OWN,

	/** It is from a run of the process before the present one. */
	OLD_INCARNATION,

	/** It is a duplicate or was overtaken by a later digest. */
	OUT_OF_ORDER,

	/** Its sender has another address than the process that it names. */
	FOREIGN_ADDRESS,

	/** Too many processes are known already. */
	TOO_MANY_PEERS

}
