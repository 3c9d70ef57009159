/**
 * Choice of the backend server for a request whose sender talks to the servers directly.
 */
package org.marjoramgw.policy.placement;
