package org.marjoramgw.direct.forward;

/**
 * Receiver of how a body goes; one of the methods about its end is called, once.
 *
 * @author The marjoramgw authors
 */
interface BodyObserver {

	/**
	 * The first bytes came.
	 */
	void onFirst();

	/**
	 * The body was read to its end.
	 */
	void onComplete();

	/**
	 * The sender of the body broke off.
	 * @param failure what happened
	 */
	void onBroken(Throwable failure);

	/**
	 * The reader of the body wants no more.
	 */
	void onCancelled();

}
