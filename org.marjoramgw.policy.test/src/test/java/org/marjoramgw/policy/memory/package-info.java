/**
 * Tests of the memory budget.
 */
package org.marjoramgw.policy.memory;
