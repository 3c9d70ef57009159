package org.marjoramgw.wire;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonFormat.Shape;

/**
 * What a process does now; rides on hello and heartbeats.
 *
 * @param configRevision revision in force, 0 if none
 * @param leaving whether the process takes no new work
 * @param inFlight requests that run now
 * @param queued reservations that wait
 * @param slotLimit present limit of requests in flight
 * @author The marjoramgw authors
 */
@JsonFormat(shape = Shape.ARRAY)
public record PeerStatus(long configRevision, boolean leaving, int inFlight, int queued, int slotLimit) {
}
