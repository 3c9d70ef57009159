/**
 * Tests of the load generator and experiment tool.
 */
package org.marjoramgw.load;
