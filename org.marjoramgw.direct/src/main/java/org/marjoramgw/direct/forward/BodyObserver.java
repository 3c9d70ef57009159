package org.marjoramgw.direct.forward;

/**
 * Receiver of how a body began and ended. Of the methods for its end exactly one is
 * called, once.
 *
 * @author The marjoramgw authors
 */
interface BodyObserver {

	/**
	 * Its first bytes have come.
	 */
	void onFirstBytes();

	/**
	 * The body was read to its end.
	 */
	void onComplete();

	/**
	 * The sender of the body broke off.
	 * @param failure what happened
	 */
	void onFailure(Throwable failure);

	/**
	 * The reader of the body wants no more.
	 */
	void onCancelled();

}
