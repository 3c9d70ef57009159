package org.marjoramgw.side.scheduler;

import com.codahale.metrics.MetricRegistry;
import org.marjoramgw.trace.DecisionLog;

/**
 * Destinations of the decisions and metrics that the scheduler records.
 *
 * @param decisionLog log of scheduling decisions
 * @param metricRegistry registry of the metrics
 * @author The marjoramgw authors
 */
public record TelemetrySinks(DecisionLog decisionLog, MetricRegistry metricRegistry) {
}
