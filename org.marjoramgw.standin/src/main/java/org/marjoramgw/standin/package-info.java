/**
 * Stand-ins of the backend servers and the platform, for tests and the demo.
 */
package org.marjoramgw.standin;
