package org.marjoramgw.direct.model;

/**
 * Service that receives a share of a route's requests.
 *
 * @param name name of the service
 * @param weight weight relative to the other services of the route
 * @author The marjoramgw authors
 */
public record WeightedService(String name, double weight) {
}
