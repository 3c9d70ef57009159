/**
 * Connection pool and health of backend servers, and classification of their responses.
 */
package org.marjoramgw.direct.backend;
