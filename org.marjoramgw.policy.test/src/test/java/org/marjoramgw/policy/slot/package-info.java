/**
 * Tests of slot limits and of the allocation of slots.
 */
package org.marjoramgw.policy.slot;
