/**
 * Contract tests of the log service stand-in.
 */
package org.marjoramgw.standin.log;
