/**
 * Accepted configuration derived from the log stream {@code config}.
 */
package org.marjoramgw.config.internal;
