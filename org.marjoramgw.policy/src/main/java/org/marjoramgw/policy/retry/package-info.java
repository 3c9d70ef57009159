/**
 * Budget and timing of retries.
 */
package org.marjoramgw.policy.retry;
