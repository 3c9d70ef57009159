/**
 * Shared parts of the operators' commands: options, settings, clients of the platform
 * services and the processes, messages, reports and tables.
 */
package org.marjoramgw.ctl.internal;
