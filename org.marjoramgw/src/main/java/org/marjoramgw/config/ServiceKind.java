package org.marjoramgw.config;

/**
 * Kind of a service.
 *
 * @author The marjoramgw authors
 */
public enum ServiceKind {

	/** Model engines, reached through the chat completions path. */
	MODEL,

	/** Plain HTTP service, reached through the services path. */
	PLAIN

}
