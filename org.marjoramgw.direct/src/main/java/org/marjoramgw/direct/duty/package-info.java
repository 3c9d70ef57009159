/**
 * Usage reports: counts that all processes share in a topic of the store, and the process
 * that sums and reports them while it holds the lease.
 */
package org.marjoramgw.direct.duty;
