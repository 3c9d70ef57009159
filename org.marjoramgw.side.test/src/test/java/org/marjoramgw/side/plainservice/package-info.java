/**
 * Contract tests of the plain service's client.
 */
package org.marjoramgw.side.plainservice;
