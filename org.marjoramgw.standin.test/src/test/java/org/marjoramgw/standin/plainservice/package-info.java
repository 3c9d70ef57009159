/**
 * Contract tests of the plain service stand-in.
 */
package org.marjoramgw.standin.plainservice;
