package org.marjoramgw.standin.engine;

/**
 * Faults of an engine stand-in; a {@code null} leaves a fault as it is.
 *
 * @param crashAfterTokens crashes after so many more tokens; 0 takes the fault away and
 * ends a crash
 * @param straggleFactor factor on every gap between tokens, at least 1
 * @param reportLagMs how far the load report is behind, in milliseconds
 * @author The marjoramgw authors
 */
public record EngineControl(Integer crashAfterTokens, Double straggleFactor, Long reportLagMs) {
}
