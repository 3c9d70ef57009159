package org.marjoramgw.load.experiment;

import java.util.Map;

/**
 * Fault that is injected into a stand-in during an experiment.
 *
 * @param offsetMillis time of the injection, in milliseconds after the start of the first
 * phase
 * @param standin name of the stand-in, for example {@code engine.runner-1}
 * @param control body of the {@code PUT /control} request that injects the fault
 * @author The marjoramgw authors
 */
public record Fault(long offsetMillis, String standin, Map<String, Object> control) {
}
