/**
 * Tests of the selection of the stream to preempt.
 */
package org.marjoramgw.policy.preemption;
