/**
 * Small blocking HTTP client for the platform and the operators.
 */
package org.marjoramgw.http;
