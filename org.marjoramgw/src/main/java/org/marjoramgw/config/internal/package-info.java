/**
 * Accepted revisions worked out from the log stream {@code config}.
 */
package org.marjoramgw.config.internal;
