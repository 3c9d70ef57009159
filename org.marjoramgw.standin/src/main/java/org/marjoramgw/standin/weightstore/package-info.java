/**
 * Stand-in of the platform's weight store.
 */
package org.marjoramgw.standin.weightstore;
