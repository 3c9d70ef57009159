/**
 * Contract tests of the stand-ins.
 */
package org.marjoramgw.standin;
