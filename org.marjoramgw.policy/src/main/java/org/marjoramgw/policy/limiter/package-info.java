/**
 * Order in which requests are worked on while a process has less processor time than they
 * need.
 */
package org.marjoramgw.policy.limiter;
