/**
 * Tests of the choice of candidates.
 */
package org.marjoramgw.policy.candidate;
