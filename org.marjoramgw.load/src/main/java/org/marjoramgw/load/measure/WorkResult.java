package org.marjoramgw.load.measure;

import java.util.Map;

/**
 * Useful and wasted work of an experiment.
 *
 * @param goodputTokensPerSecond tokens of attained answers, a second
 * @param goodputCallsPerSecond attained plain calls, a second
 * @param generatedTokens tokens that the engines generated
 * @param deliveredTokens tokens of whole answers that callers got
 * @param wastedTokens tokens that were generated and thrown away
 * @param wastedPercent share of wasted tokens in those generated, in percent
 * @param wastedTokensByCause wasted tokens by cause
 * @param recomputedPrefillTokens prompt tokens that were computed again for continued
 * answers
 * @author The marjoramgw authors
 */
public record WorkResult(double goodputTokensPerSecond, double goodputCallsPerSecond, long generatedTokens,
		long deliveredTokens, long wastedTokens, double wastedPercent, Map<String, Long> wastedTokensByCause,
		long recomputedPrefillTokens) {
}
