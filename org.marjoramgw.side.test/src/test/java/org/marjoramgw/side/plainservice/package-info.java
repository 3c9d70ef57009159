/**
 * Contract tests of the plain service client.
 */
package org.marjoramgw.side.plainservice;
