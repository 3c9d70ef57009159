/**
 * HTTP servers with faults for the contract tests.
 */
package org.marjoramgw.http;
