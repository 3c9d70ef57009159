/**
 * Contract tests of the engine's client.
 */
package org.marjoramgw.side.engine;
