/**
 * Contract tests of the stand-in.
 */
package org.marjoramgw.standin.plainservice;
