/**
 * Contract tests of the endpoint for callers.
 */
package org.marjoramgw.entry.caller;
