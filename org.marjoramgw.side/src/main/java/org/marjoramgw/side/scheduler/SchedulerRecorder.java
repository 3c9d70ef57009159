package org.marjoramgw.side.scheduler;

import com.codahale.metrics.MetricRegistry;
import org.marjoramgw.trace.DecisionLog;

/**
 * Where the scheduler records what it does.
 *
 * @param decisions record of decisions
 * @param registry metrics
 * @author The marjoramgw authors
 */
public record SchedulerRecorder(DecisionLog decisions, MetricRegistry registry) {
}
