package org.marjoramgw.wire;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonFormat.Shape;

/**
 * Current status of a process, sent in hello and heartbeat messages.
 *
 * @param configRevision revision of the configuration in force, 0 if none
 * @param leaving whether the process is draining and accepts no new requests
 * @param inFlight number of requests in flight
 * @param queued number of queued reservations
 * @param slotLimit current limit of requests in flight
 * @author The marjoramgw authors
 */
@JsonFormat(shape = Shape.ARRAY)
public record PeerStatus(long configRevision, boolean leaving, int inFlight, int queued, int slotLimit) {
}
