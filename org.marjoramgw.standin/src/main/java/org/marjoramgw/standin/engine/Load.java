package org.marjoramgw.standin.engine;

/**
 * Load of an engine at some moment.
 *
 * @param running requests that run
 * @param waiting requests that wait inside the engine
 * @author The marjoramgw authors
 */
public record Load(int running, int waiting) {
}
