package org.marjoramgw.vmlist;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * VM in the platform's list.
 *
 * @param id name of the VM; also the process id of the entry or side process that runs on
 * it
 * @param role {@code entry} or {@code side}
 * @param failureDomain failure domain
 * @param pool pool of backend servers, or an empty string for an entry VM
 * @param peerAddress address for connections between processes of this system, or an
 * empty string
 * @param operatorAddress address of the operator HTTP endpoint
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

	/** State of a VM that accepts work. */
	public static final String LIVE = "live";

	/** State of a VM that accepts no new work. */
	public static final String LEAVING = "leaving";

}
