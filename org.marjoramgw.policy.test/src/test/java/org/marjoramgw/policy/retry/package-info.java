/**
 * Tests of retry budget and backoff.
 */
package org.marjoramgw.policy.retry;
