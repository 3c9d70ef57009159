/**
 * Tests of the accepted revisions worked out from the log.
 */
package org.marjoramgw.config.internal;
