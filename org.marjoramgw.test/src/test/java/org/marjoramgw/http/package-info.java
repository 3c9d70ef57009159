/**
 * Tests of the HTTP client, and HTTP servers and fixtures for other tests.
 */
package org.marjoramgw.http;
