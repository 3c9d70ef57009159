/**
 * Tests of the log output.
 */
package org.marjoramgw.logging;
