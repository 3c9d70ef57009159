/**
 * Partition of the backend servers of a service by the length of the prompts that they
 * prefill.
 */
package org.marjoramgw.policy.partition;
