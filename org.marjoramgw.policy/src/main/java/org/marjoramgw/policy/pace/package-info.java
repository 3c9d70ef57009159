/**
 * Pace at which backend servers read prompts, and the slow start of servers.
 */
package org.marjoramgw.policy.pace;
