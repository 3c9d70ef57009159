/**
 * Tests of the log service's client, and a log in memory for other tests.
 */
package org.marjoramgw.log;
