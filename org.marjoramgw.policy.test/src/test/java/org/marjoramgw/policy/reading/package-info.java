/**
 * Tests of org.marjoramgw.policy.reading.
 */
package org.marjoramgw.policy.reading;
