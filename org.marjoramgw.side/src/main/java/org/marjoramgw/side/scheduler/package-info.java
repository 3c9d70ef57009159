/**
 * Reservations, grants and runs of one backend server.
 */
package org.marjoramgw.side.scheduler;
