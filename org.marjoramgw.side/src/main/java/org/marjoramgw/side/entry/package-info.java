/**
 * Connections of entries.
 */
package org.marjoramgw.side.entry;
