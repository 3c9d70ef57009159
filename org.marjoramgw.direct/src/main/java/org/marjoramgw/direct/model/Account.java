package org.marjoramgw.direct.model;

import java.util.OptionalInt;

/**
 * Client account.
 *
 * @param name name of the account
 * @param priority priority of all requests of the account, which takes precedence over
 * the priority of the route, or empty; 0 is the highest
 * @author The marjoramgw authors
 */
public record Account(String name, OptionalInt priority) {
}
