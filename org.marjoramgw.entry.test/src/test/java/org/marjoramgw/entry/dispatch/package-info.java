/**
 * Tests of the course of a request.
 */
package org.marjoramgw.entry.dispatch;
