/**
 * Scheduling of the requests to one backend server: reservations, grants, executions and
 * delivery of responses.
 */
package org.marjoramgw.side.scheduler;
