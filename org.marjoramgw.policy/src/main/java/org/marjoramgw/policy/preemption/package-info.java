/**
 * Choice of the stream that makes room for a higher tier.
 */
package org.marjoramgw.policy.preemption;
