package org.marjoramgw.standin.engine;

/**
 * What a cancel met.
 *
 * @author The marjoramgw authors
 */
enum CancelResult {

	/** No such generation waits or runs. */
	UNKNOWN,

	/** It waited and never started. */
	NOT_STARTED,

	/** It had started. */
	STARTED

}
