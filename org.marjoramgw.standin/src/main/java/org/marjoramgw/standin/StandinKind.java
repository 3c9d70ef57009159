package org.marjoramgw.standin;

import java.util.Locale;

/**
 * Kind of stand-in that the program starts.
 *
 * @author The marjoramgw authors
 */
enum StandinKind {

	/** Model engine. */
	ENGINE,

	/** Plain service. */
	PLAIN,

	/** Log service. */
	LOG,

	/** VM list. */
	VMLIST,

	/** Weight store. */
	WEIGHTS,

	/** Fault-injecting proxy. */
	PROXY,

	/** Any number of the others in one process. */
	ALL;

	String commandName() {
		return name().toLowerCase(Locale.ROOT);
	}

}
