/**
 * Tests of the client of the log service, and an in-memory log service for other tests.
 */
package org.marjoramgw.log;
