/**
 * Tests of the connections to side processes.
 */
package org.marjoramgw.entry.side;
