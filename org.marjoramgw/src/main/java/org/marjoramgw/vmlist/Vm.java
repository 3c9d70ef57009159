package org.marjoramgw.vmlist;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * VM of the platform's list.
 *
 * @param id name of the VM; also the process id of the process of the system on it
 * @param role {@code entry} or {@code side}
 * @param failureDomain failure domain
 * @param pool pool of backend servers, or an empty text for an entry
 * @param peerAddress address for the system's own processes, or an empty text
 * @param operatorAddress address of the operators' HTTP endpoint
 * @param state {@code live} or {@code leaving}
 * @author The marjoramgw authors
 */
public record Vm(@JsonProperty("id") String id, @JsonProperty("role") String role,
		@JsonProperty("failure_domain") String failureDomain, @JsonProperty("pool") String pool,
		@JsonProperty("peer_address") String peerAddress, @JsonProperty("operator_address") String operatorAddress,
		@JsonProperty("state") String state) {

	/** Role of an entry VM. */
	public static final String ENTRY = "entry";

	/** Role of a backend server VM. */
	public static final String SIDE = "side";

	/** State of a VM that takes work. */
	public static final String LIVE = "live";

	/** State of a VM that takes no new work. */
	public static final String LEAVING = "leaving";

}
