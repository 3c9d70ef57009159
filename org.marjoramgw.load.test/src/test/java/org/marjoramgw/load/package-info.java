/**
 * Tests of the load tool.
 */
package org.marjoramgw.load;
