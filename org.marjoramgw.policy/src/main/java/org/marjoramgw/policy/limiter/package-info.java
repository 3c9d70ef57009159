/**
 * Limits on concurrent work, and the order of waiting requests while a process is short
 * of processor time.
 */
package org.marjoramgw.policy.limiter;
