package org.marjoramgw.direct.model;

import java.util.OptionalInt;

/**
 * Client account.
 *
 * @param name name of the account
 * @param priority rank of all its requests, in place of the routes' rank, or empty
 * @author The marjoramgw authors
 */
public record Account(String name, OptionalInt priority) {
}
