/**
 * Detects crashes of backend servers, and shares crash reports and verdicts on prompt
 * parts with the other processes through a topic of the platform's store.
 */
package org.marjoramgw.direct.quarantine;
