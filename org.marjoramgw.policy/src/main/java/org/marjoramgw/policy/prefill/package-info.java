/**
 * Limits on the prompts in prefill at a backend server, and the order of the prompts that
 * wait.
 */
package org.marjoramgw.policy.prefill;
