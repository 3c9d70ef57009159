package org.marjoramgw.load.measure;

/**
 * Measures of one client account over all classes.
 *
 * @param name name of the account
 * @param requests requests that were answered or refused
 * @param attainmentPercent share of attained requests, in percent
 * @author The marjoramgw authors
 */
public record AccountResult(String name, long requests, double attainmentPercent) {
}
