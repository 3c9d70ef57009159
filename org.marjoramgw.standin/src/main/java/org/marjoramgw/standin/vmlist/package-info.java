/**
 * Stand-in of the platform's VM list.
 */
package org.marjoramgw.standin.vmlist;
