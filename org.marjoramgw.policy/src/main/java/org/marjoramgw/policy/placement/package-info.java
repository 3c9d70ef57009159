/**
 * Choice of the backend server for a request whose sender connects to the servers
 * directly.
 */
package org.marjoramgw.policy.placement;
