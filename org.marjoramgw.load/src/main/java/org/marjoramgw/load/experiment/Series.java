package org.marjoramgw.load.experiment;

import java.util.List;

/**
 * Series of runs that compares variants on the same experiments and seeds.
 *
 * @param name name of the series
 * @param experiments the experiments, all on the same deployment
 * @param variants the variants, which are run alternately
 * @param firstSeed the first seed
 * @param seedCount number of seeds; they are consecutive
 * @author The marjoramgw authors
 */
public record Series(String name, List<Experiment> experiments, List<Variant> variants, int firstSeed, int seedCount) {
}
