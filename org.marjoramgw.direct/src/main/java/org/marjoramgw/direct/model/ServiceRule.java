package org.marjoramgw.direct.model;

/**
 * Bounds of one service.
 *
 * @param name name of the service
 * @param maxConnections connections that one of its backend servers accepts from all
 * callers together, or 0 if unknown
 * @param generating whether its backend servers generate tokens and cache prompts
 * @author The marjoramgw authors
 */
public record ServiceRule(String name, int maxConnections, boolean generating) {
}
