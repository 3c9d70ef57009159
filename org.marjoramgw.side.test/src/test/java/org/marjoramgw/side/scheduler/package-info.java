/**
 * Tests of reservations, grants, runs and answers.
 */
package org.marjoramgw.side.scheduler;
