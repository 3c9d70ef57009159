/**
 * The rule for requests that wait in a process: which goes first, how long each may wait,
 * and when it is refused.
 */
package org.marjoramgw.policy.waiting;
