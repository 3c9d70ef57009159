/**
 * Immutable values: routes, client accounts and backend servers.
 */
package org.marjoramgw.direct.model;
