/**
 * Tests of the choice of the stream to preempt.
 */
package org.marjoramgw.policy.preemption;
