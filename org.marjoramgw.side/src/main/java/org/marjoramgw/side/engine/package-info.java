/**
 * Client of a model engine.
 */
package org.marjoramgw.side.engine;
