/**
 * The platform's list of live and leaving VMs.
 */
package org.marjoramgw.vmlist;
