/**
 * Log output as JSON lines.
 */
package org.marjoramgw.logging;
