package org.marjoramgw.wire;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonFormat.Shape;

/**
 * Identity of a process for the length of one incarnation.
 *
 * @param processId name of the process, stable over restarts
 * @param role {@code entry}, {@code side} or {@code operator}
 * @param failureDomain failure domain from the settings
 * @param incarnation number that rises with each start of the process
 * @param pool pool of backend servers that a side process serves, or an empty text
 * @author The marjoramgw authors
 */
@JsonFormat(shape = Shape.ARRAY)
public record PeerIdentity(String processId, String role, String failureDomain, long incarnation, String pool) {
}
