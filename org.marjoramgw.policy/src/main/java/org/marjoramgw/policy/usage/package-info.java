/**
 * Counts of the requests of client accounts in windows of time, and the reports on them.
 */
package org.marjoramgw.policy.usage;
