/**
 * Decides which requests a process that stops gracefully still begins.
 */
package org.marjoramgw.policy.drain;
