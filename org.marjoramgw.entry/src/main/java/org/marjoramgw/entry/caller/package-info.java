/**
 * Calls of client accounts over HTTP and the answers to them.
 */
package org.marjoramgw.entry.caller;
