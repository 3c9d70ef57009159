/**
 * Tests of the client of the VM list and its watcher.
 */
package org.marjoramgw.vmlist;
