/**
 * Tests of the partition of servers by prompt length.
 */
package org.marjoramgw.policy.partition;
