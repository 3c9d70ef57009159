/**
 * Tests of reservations, grants, executions and delivery of responses.
 */
package org.marjoramgw.side.scheduler;
