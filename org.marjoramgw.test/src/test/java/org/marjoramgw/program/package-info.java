/**
 * Tests of the command line parser that all programs share.
 */
package org.marjoramgw.program;
