package org.marjoramgw.load.measure;

/**
 * One run of a series.
 *
 * @param variant name of the variant
 * @param result its measures
 * @author The marjoramgw authors
 */
public record SeriesRun(String variant, ExperimentResult result) {
}
