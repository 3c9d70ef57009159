/**
 * Tests of the quarantine of prompt parts.
 */
package org.marjoramgw.policy.quarantine;
