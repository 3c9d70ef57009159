/**
 * Entry process between callers and side processes.
 */
package org.marjoramgw.entry;
