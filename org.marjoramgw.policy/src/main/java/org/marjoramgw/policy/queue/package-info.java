/**
 * Bounded queues for each class and the order of grants.
 */
package org.marjoramgw.policy.queue;
