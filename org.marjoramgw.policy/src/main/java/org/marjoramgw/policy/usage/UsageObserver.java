package org.marjoramgw.policy.usage;

/**
 * Observer of the requests that begin to run on a server.
 *
 * @author The marjoramgw authors
 */
@FunctionalInterface
public interface UsageObserver {

	/** Observer that counts nothing. */
	UsageObserver NONE = (account) -> Run.NONE;

	/**
	 * Called when a request of an account has begun to run.
	 * @param account name of the client account
	 * @return the run
	 */
	Run onRun(String account);

	/**
	 * Run of a request on a server.
	 */
	@FunctionalInterface
	interface Run {

		/** Run that was not counted. */
		Run NONE = () -> {
		};

		/**
		 * Takes the run back, because the server has reported that it didn't take place.
		 */
		void takeBack();

	}

}
