package org.marjoramgw.operator;

import org.marjoramgw.wire.PeerIdentity;
import org.marjoramgw.wire.PeerStatus;

/**
 * Response body of {@code GET /operator/status}.
 *
 * @param identity identity of the process
 * @param status its current status
 * @author The marjoramgw authors
 */
public record ProcessReport(PeerIdentity identity, PeerStatus status) {
}
