/**
 * Budgets and delays of retries.
 */
package org.marjoramgw.policy.retry;
