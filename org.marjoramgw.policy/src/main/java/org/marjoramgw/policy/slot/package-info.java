/**
 * Slot limits and the allocation of slots to waiting requests.
 */
package org.marjoramgw.policy.slot;
