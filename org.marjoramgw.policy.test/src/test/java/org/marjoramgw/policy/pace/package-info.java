/**
 * Tests of the pace and the slow start of backend servers.
 */
package org.marjoramgw.policy.pace;
