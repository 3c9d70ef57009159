/**
 * Contract tests of the engine stand-in.
 */
package org.marjoramgw.standin.engine;
