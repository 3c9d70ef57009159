package org.marjoramgw.standin;

import java.util.Locale;

/**
 * Kind of stand-in, each with a subcommand of the program.
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

	/**
	 * All of the others in one process, with any number of engines and plain services.
	 */
	ALL;

	String commandName() {
		return name().toLowerCase(Locale.ROOT);
	}

}
