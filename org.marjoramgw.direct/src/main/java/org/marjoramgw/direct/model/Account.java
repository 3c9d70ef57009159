package org.marjoramgw.direct.model;

import java.util.OptionalInt;

/**
 * Client account.
 *
 * @param name name of the account
 * @param priority priority of all its requests, which goes before that of their routes,
 * or empty; 0 is the highest
 * @author The marjoramgw authors
 */
public record Account(String name, OptionalInt priority) {
}
