/**
 * Stand-in for a model engine with continuous batching.
 */
package org.marjoramgw.standin.engine;
