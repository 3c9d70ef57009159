package org.marjoramgw.standin.log;

/**
 * Faults of a log stand-in; a {@code null} leaves a fault as it is.
 *
 * @param outage whether every call gets 503
 * @param loseAnswers how many of the next appends take effect without an answer
 * @param delayMs delay of each answer, in milliseconds
 * @param retentionRecords records that each stream keeps
 * @author The marjoramgw authors
 */
public record LogControl(Boolean outage, Integer loseAnswers, Long delayMs, Long retentionRecords) {
}
