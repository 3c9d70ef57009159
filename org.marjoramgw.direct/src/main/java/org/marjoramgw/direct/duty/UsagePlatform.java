package org.marjoramgw.direct.duty;

import org.marjoramgw.direct.follow.AppendableTopic;

/**
 * What the usage reports need from the platform.
 *
 * @param usage topic of this system for the counts of all processes
 * @param duties topic of this system for the lease and the contents of the reports
 * @param reports receiver of the reports
 * @author The marjoramgw authors
 */
public record UsagePlatform(AppendableTopic usage, AppendableTopic duties, UsageReports reports) {
}
