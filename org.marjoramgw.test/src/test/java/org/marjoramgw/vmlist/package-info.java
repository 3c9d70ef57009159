/**
 * Tests of the VM list's client and watcher.
 */
package org.marjoramgw.vmlist;
