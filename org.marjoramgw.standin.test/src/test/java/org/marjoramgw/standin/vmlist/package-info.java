/**
 * Contract tests of the VM list stand-in.
 */
package org.marjoramgw.standin.vmlist;
