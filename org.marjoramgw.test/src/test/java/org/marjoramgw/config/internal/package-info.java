/**
 * Tests of the accepted configuration derived from the log.
 */
package org.marjoramgw.config.internal;
