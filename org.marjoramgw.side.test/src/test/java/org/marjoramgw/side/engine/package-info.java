/**
 * Contract tests of the engine client.
 */
package org.marjoramgw.side.engine;
