package org.marjoramgw.standin.engine;

/**
 * Faults of an engine stand-in; a {@code null} leaves a fault unchanged.
 *
 * @param crashAfterTokens number of further tokens after which the engine crashes; 0
 * removes the fault and ends a crash
 * @param straggleFactor factor that multiplies prefill times and token gaps, at least 1
 * @param reportLagMs lag of the load report, in milliseconds
 * @author The marjoramgw authors
 */
public record EngineControl(Integer crashAfterTokens, Double straggleFactor, Long reportLagMs) {
}
