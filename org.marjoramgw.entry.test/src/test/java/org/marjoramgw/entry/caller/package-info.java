/**
 * Tests of the HTTP endpoint for callers.
 */
package org.marjoramgw.entry.caller;
