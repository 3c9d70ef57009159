/**
 * Tests of the shared load and of the membership of entry processes.
 */
package org.marjoramgw.policy.fleet;
