/**
 * Tests of the lease on a duty.
 */
package org.marjoramgw.policy.lease;
