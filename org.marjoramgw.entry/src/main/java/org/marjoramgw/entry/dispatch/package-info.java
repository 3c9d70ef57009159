/**
 * Dispatch of one request: reservations, grant, run, retries and response.
 */
package org.marjoramgw.entry.dispatch;
