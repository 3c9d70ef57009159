/**
 * What the operators' commands share: options, settings, access to the platform and the
 * processes, texts and tables.
 */
package org.marjoramgw.ctl.internal;
