/**
 * Lease on a duty that one process of a deployment holds at a time.
 */
package org.marjoramgw.policy.lease;
