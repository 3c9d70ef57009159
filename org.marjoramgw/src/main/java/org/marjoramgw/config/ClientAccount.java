package org.marjoramgw.config;

/**
 * Client account.
 *
 * @param name name of the account
 * @param keySha256 SHA-256 digest of its bearer key, in lower-case hexadecimal
 * @param weight weight against the other accounts of a class
 * @author The marjoramgw authors
 */
public record ClientAccount(String name, String keySha256, int weight) {
}
