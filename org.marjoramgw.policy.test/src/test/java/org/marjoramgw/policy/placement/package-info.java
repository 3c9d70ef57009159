/**
 * Tests of the choice of backend servers.
 */
package org.marjoramgw.policy.placement;
