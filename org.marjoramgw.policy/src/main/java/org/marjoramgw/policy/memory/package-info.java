/**
 * Memory budget of what a process holds for others, and the order in which it is
 * reclaimed.
 */
package org.marjoramgw.policy.memory;
