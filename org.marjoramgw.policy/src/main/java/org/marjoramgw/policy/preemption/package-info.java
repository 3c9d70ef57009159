/**
 * Selection of the stream to preempt in favor of a request of a higher tier.
 */
package org.marjoramgw.policy.preemption;
