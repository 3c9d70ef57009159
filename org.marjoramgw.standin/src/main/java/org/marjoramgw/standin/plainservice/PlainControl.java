package org.marjoramgw.standin.plainservice;

/**
 * Faults of a plain service stand-in; a {@code null} leaves a fault as it is.
 *
 * @param delayMs time that a call takes, in milliseconds
 * @param status status of the answers
 * @param breakAfterRun whether a call runs and its connection is cut with no answer
 * @author The marjoramgw authors
 */
public record PlainControl(Long delayMs, Integer status, Boolean breakAfterRun) {
}
