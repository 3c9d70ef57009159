/**
 * Orders from a side process to its own engine.
 * <p>
 * Each order carries the offset of this process's start record as its fencing number, so
 * that an engine that checks fencing refuses orders from an earlier incarnation. The
 * engine's published state is read before and after each order. It shows a newer fencing
 * number even if the engine does not check fencing, and whether the order took effect.
 * Between the two reads, an engine that does not check fencing may still execute an order
 * from an earlier incarnation. The newer incarnation then sees the effect in the state
 * and sends its order again.
 */
package org.marjoramgw.side.order;
