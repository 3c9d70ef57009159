package org.marjoramgw.load.measure;

/**
 * Measures of one client account over all request classes.
 *
 * @param name name of the account
 * @param requests number of completed, refused or failed requests
 * @param attainmentPercent share of requests that met every target, in percent
 * @author The marjoramgw authors
 */
public record AccountResult(String name, long requests, double attainmentPercent) {
}
