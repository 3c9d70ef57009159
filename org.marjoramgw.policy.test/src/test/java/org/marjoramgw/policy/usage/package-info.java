/**
 * Tests of the counts of usage and the reports on them.
 */
package org.marjoramgw.policy.usage;
