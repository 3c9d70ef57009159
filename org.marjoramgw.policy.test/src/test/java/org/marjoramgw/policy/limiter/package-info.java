/**
 * Tests of the order in which requests start.
 */
package org.marjoramgw.policy.limiter;
