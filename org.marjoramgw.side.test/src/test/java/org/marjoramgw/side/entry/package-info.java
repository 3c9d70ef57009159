/**
 * Contract tests of the connections of entries.
 */
package org.marjoramgw.side.entry;
