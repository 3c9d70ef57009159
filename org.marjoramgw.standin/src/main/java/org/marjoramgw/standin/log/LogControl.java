package org.marjoramgw.standin.log;

/**
 * Faults of a log stand-in; a {@code null} leaves a fault unchanged.
 *
 * @param outage whether every request gets status 503
 * @param loseAnswers number of next appends that take effect but whose connection is
 * aborted without a response
 * @param delayMs delay of each response, in milliseconds
 * @param retentionRecords number of records retained by each stream
 * @author The marjoramgw authors
 */
public record LogControl(Boolean outage, Integer loseAnswers, Long delayMs, Long retentionRecords) {
}
