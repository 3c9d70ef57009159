package org.marjoramgw.standin.engine;

/**
 * Snapshot of the load of an engine.
 *
 * @param running number of running requests
 * @param waiting number of requests queued in the engine
 * @author The marjoramgw authors
 */
public record Load(int running, int waiting) {
}
