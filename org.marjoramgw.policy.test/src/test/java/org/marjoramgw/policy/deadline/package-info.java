/**
 * Tests of org.marjoramgw.policy.deadline.
 */
package org.marjoramgw.policy.deadline;
