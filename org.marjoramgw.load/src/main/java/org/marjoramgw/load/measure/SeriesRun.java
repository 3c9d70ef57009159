package org.marjoramgw.load.measure;

/**
 * Result of one run of a series.
 *
 * @param variant name of the variant
 * @param result result of the run
 * @author The marjoramgw authors
 */
public record SeriesRun(String variant, ExperimentResult result) {
}
