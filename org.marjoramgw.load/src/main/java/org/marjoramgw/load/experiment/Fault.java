package org.marjoramgw.load.experiment;

import java.util.Map;

/**
 * Fault that a stand-in is told to have during an experiment.
 *
 * @param offsetMillis when, in milliseconds after the first phase began
 * @param standin name of the stand-in, for example {@code engine.runner-1}
 * @param control body of its {@code PUT /control}
 * @author The marjoramgw authors
 */
public record Fault(long offsetMillis, String standin, Map<String, Object> control) {
}
