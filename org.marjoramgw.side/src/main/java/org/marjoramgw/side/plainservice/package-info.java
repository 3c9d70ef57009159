/**
 * Client of a plain service.
 */
package org.marjoramgw.side.plainservice;
