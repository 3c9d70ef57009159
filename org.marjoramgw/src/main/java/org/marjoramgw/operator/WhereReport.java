package org.marjoramgw.operator;

import java.util.List;
import java.util.Map;

/**
 * Response body of {@code GET /explain} of a direct entry process: where a request would
 * go now, and why.
 *
 * @param process id of the process
 * @param configVersion version of the configuration in force, 0 if there is none
 * @param configAgeMs time since it was last confirmed in milliseconds, -1 if it never was
 * @param refusal refusal of the request, or {@code null} if it would be sent
 * @param match what the request matches, or {@code null} if it isn't admitted
 * @param choice the chosen server, or {@code null} if there is none
 * @param turn wait for a turn in this process, or {@code null} if none is needed
 * @param permit wait for a permit of the chosen server, or {@code null} if none is needed
 * @param serverCount number of servers of the service, listed or not
 * @param servers servers of the service, the chosen one first, then the candidates
 * @author The marjoramgw authors
 */
public record WhereReport(String process, long configVersion, long configAgeMs, Refusal refusal, Match match,
		Choice choice, Wait turn, Wait permit, int serverCount, List<Server> servers) {

	/**
	 * Refusal of a request.
	 *
	 * @param code number of the result code
	 * @param text its text
	 * @param status HTTP status of the response
	 * @param detail further details
	 */
	public record Refusal(int code, String text, int status, String detail) {
	}

	/**
	 * What a request matches in the configuration.
	 *
	 * @param route name of the route
	 * @param account name of the client account, or an empty text
	 * @param rank priority rank; 0 is the most urgent
	 * @param service name of the service, or an empty text if none was selected
	 * @param weights weights of the services of the route, by name
	 */
	public record Match(String route, String account, int rank, String service, Map<String, Double> weights) {
	}

	/**
	 * Choice of a server.
	 *
	 * @param server id of the server
	 * @param rule rule by which it was chosen among the candidates
	 */
	public record Choice(String server, String rule) {
	}

	/**
	 * Wait that a request would have.
	 *
	 * @param waits whether it would wait
	 * @param before number of requests that would go before it
	 * @param maxWaitMs time in milliseconds after which it waits no longer, -1 if it
	 * isn't limited
	 */
	public record Wait(boolean waits, int before, long maxWaitMs) {
	}

	/**
	 * A server and what the choice depends on.
	 *
	 * @param id id of the server
	 * @param failureDomain its failure domain
	 * @param chosen whether it is chosen
	 * @param candidate whether it is one of those that the placement chooses from
	 * @param obstacle why it isn't usable, or an empty text
	 * @param suspect whether it failed recently
	 * @param load load from this process
	 * @param prefillCount prompts of this process in prefill there
	 * @param waitingCount prompts of this process that wait for its permit
	 * @param estimates further estimates of the server, by name
	 */
	public record Server(String id, String failureDomain, boolean chosen, boolean candidate, String obstacle,
			boolean suspect, double load, int prefillCount, int waitingCount, Map<String, Double> estimates) {
	}

}
