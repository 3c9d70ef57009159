/**
 * Orders of a side process to its own engine.
 * <p>
 * Each order carries the offset of this process's start record as fencing number, so that
 * an engine that checks it refuses an earlier incarnation. Before and after each order
 * the engine's published state is read too: it shows a newer number also where the engine
 * doesn't check, and whether the order took effect. Between the two reads an unchecked
 * order of an earlier incarnation can still land; the newer one sees it in the state and
 * orders again.
 */
package org.marjoramgw.side.order;
