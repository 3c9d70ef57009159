/**
 * Calls to the backend server beside this process, whatever its kind.
 */
package org.marjoramgw.side.backend;
