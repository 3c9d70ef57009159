/**
 * Tests of org.marjoramgw.policy.prefill.
 */
package org.marjoramgw.policy.prefill;
