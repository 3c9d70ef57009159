package org.marjoramgw.direct.forward;

/**
 * Observer of the start and end of a body. Exactly one of {@link #onComplete()},
 * {@link #onFailure(Throwable)} and {@link #onCancelled()} is called, once.
 *
 * @author The marjoramgw authors
 */
interface BodyObserver {

	/**
	 * Called when the first bytes arrive.
	 */
	void onFirstBytes();

	/**
	 * Called when the reader of the body waits for more bytes.
	 */
	void onDemand();

	/**
	 * Called when bytes arrive, the first ones included.
	 */
	void onBytes();

	/**
	 * Called once when as many events have arrived that their sender has gone on after
	 * the first one.
	 */
	void onProgress();

	/**
	 * Called when the body was read completely.
	 */
	void onComplete();

	/**
	 * Called when the sender of the body failed.
	 * @param failure cause of the failure
	 */
	void onFailure(Throwable failure);

	/**
	 * Called when the reader of the body cancelled.
	 */
	void onCancelled();

}
