/**
 * Accounting of slot-time by class and by client account.
 */
package org.marjoramgw.policy.share;
