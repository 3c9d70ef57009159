package org.marjoramgw.wire;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonFormat.Shape;

/**
 * Identity of a process during one incarnation.
 *
 * @param processId name of the process, stable across restarts
 * @param role {@code entry}, {@code side} or {@code operator}
 * @param failureDomain failure domain from the settings of the process
 * @param incarnation number that increases with each start of the process
 * @param pool pool of backend servers that a side process serves, or an empty string
 * @author The marjoramgw authors
 */
@JsonFormat(shape = Shape.ARRAY)
public record PeerIdentity(String processId, String role, String failureDomain, long incarnation, String pool) {
}
