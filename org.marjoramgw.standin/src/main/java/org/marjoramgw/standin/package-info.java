/**
 * Stand-ins for the backend servers and the platform, used by tests and the demo.
 */
package org.marjoramgw.standin;
