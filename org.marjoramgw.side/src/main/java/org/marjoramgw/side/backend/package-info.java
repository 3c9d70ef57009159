/**
 * Client interface to backend servers of all kinds.
 */
package org.marjoramgw.side.backend;
