/**
 * Tests of the order of grants.
 */
package org.marjoramgw.policy.queue;
