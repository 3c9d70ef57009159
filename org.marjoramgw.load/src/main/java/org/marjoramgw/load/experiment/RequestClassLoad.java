package org.marjoramgw.load.experiment;

/**
 * Load of one request class at 100 percent.
 *
 * @param requestClass name of the class
 * @param arrivalsPerMinute arrivals in a minute
 * @param meanBurstSize mean number of arrivals that come together from one account
 * @param model model that is asked for, or an empty text for a plain service
 * @param streamed whether answers are streamed
 * @param medianTokens median length of an answer, in tokens
 * @param sigmaPercent spread of the length: standard deviation of its logarithm, in
 * percent
 * @param promptWords length of a prompt, in words
 * @param service plain service that is called, or an empty text for a model
 * @param path path at the plain service
 * @param keyed whether calls carry an idempotency key
 * @author The marjoramgw authors
 */
public record RequestClassLoad(String requestClass, long arrivalsPerMinute, int meanBurstSize, String model,
		boolean streamed, int medianTokens, int sigmaPercent, int promptWords, String service, String path,
		boolean keyed) {

	/**
	 * Tells whether a model is asked.
	 * @return whether this is a chat and no plain call
	 */
	public boolean isChat() {
		return !this.model.isEmpty();
	}

}
