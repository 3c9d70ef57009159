/**
 * Forwarding of requests: admission, selection of a backend server, attempts and
 * response.
 */
package org.marjoramgw.direct.forward;
