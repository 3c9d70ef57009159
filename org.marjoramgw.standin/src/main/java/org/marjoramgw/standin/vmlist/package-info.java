/**
 * Stand-in for the platform's VM list.
 */
package org.marjoramgw.standin.vmlist;
