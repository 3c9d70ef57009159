/**
 * Structured log lines on standard output.
 */
package org.marjoramgw.logging;
