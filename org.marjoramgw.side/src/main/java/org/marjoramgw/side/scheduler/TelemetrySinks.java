package org.marjoramgw.side.scheduler;

import com.codahale.metrics.MetricRegistry;
import org.marjoramgw.trace.DecisionLog;

/**
 * Where the scheduler records what it does.
 *
 * @param decisionLog record of decisions
 * @param metricRegistry metrics
 * @author The marjoramgw authors
 */
public record TelemetrySinks(DecisionLog decisionLog, MetricRegistry metricRegistry) {
}
