/**
 * Bounded queues of the classes and the order of grants.
 */
package org.marjoramgw.policy.queue;
