/**
 * Client of the platform's rate-limited store of model weights.
 */
package org.marjoramgw.side.weightstore;
