/**
 * Tests of log output.
 */
package org.marjoramgw.logging;
