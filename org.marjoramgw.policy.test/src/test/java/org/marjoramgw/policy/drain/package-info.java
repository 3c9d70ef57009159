/**
 * Tests of the decisions of a process that stops gracefully.
 */
package org.marjoramgw.policy.drain;
