package org.marjoramgw.load.experiment;

/**
 * Load of one request class at a load level of 100 percent.
 *
 * @param requestClass name of the request class
 * @param arrivalsPerMinute mean number of arrivals per minute
 * @param meanBurstSize mean number of arrivals in a burst, all from one client account
 * @param model name of the requested model, or an empty string for a plain service
 * @param streamed whether responses are streamed
 * @param medianTokens median length of a response, in tokens
 * @param sigmaPercent standard deviation of the logarithm of the response length, in
 * percent
 * @param promptWords length of a prompt, in words
 * @param service name of the called plain service, or an empty string for a model
 * @param path request path at the plain service
 * @param keyed whether calls carry an idempotency key
 * @author The marjoramgw authors
 */
public record RequestClassLoad(String requestClass, long arrivalsPerMinute, int meanBurstSize, String model,
		boolean streamed, int medianTokens, int sigmaPercent, int promptWords, String service, String path,
		boolean keyed) {

	/**
	 * Returns whether the requests are chat completions.
	 * @return {@code true} for chat completions, {@code false} for calls to a plain
	 * service
	 */
	public boolean isChat() {
		return !this.model.isEmpty();
	}

}
