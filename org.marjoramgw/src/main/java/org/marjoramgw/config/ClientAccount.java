package org.marjoramgw.config;

/**
 * Configuration of a client account.
 *
 * @param name name of the account
 * @param keySha256 SHA-256 digest of its bearer key, in lower-case hexadecimal
 * @param weight weight of the account relative to the other accounts in a class
 * @author The marjoramgw authors
 */
public record ClientAccount(String name, String keySha256, int weight) {
}
