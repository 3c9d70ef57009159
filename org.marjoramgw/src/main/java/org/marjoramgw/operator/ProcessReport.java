package org.marjoramgw.operator;

import org.marjoramgw.wire.PeerIdentity;
import org.marjoramgw.wire.PeerStatus;

/**
 * Answer to {@code GET /operator/status}.
 *
 * @param identity who the process is
 * @param status what it does now
 * @author The marjoramgw authors
 */
public record ProcessReport(PeerIdentity identity, PeerStatus status) {
}
