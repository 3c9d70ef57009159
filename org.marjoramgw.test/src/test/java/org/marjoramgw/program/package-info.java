/**
 * Tests of the command line that the programs share.
 */
package org.marjoramgw.program;
