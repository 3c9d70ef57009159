/**
 * Connections from entries.
 */
package org.marjoramgw.side.entry;
