/**
 * Tests of retry budgets and backoff.
 */
package org.marjoramgw.policy.retry;
