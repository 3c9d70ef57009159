/**
 * Course of one request: reservations, grant, run, retries and answer.
 */
package org.marjoramgw.entry.dispatch;
