/**
 * Decides until when a request can still be served.
 */
package org.marjoramgw.policy.deadline;
