/**
 * Tests of the load that entry processes share.
 */
package org.marjoramgw.policy.fleet;
