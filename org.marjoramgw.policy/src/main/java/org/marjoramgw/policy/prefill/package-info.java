/**
 * How many prompts a backend server gets at once to read, and which of those that wait
 * comes next.
 */
package org.marjoramgw.policy.prefill;
