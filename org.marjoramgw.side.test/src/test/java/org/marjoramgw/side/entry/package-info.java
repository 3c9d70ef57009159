/**
 * Contract tests of the connections from entries.
 */
package org.marjoramgw.side.entry;
