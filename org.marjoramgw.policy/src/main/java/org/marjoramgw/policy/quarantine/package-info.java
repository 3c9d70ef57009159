/**
 * Detection and refusal of prompt parts that crash backend servers.
 */
package org.marjoramgw.policy.quarantine;
