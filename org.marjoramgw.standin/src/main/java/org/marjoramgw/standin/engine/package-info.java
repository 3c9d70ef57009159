/**
 * Stand-in of a model engine that batches continuously.
 */
package org.marjoramgw.standin.engine;
