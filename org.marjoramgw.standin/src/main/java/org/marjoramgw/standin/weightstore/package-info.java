/**
 * Stand-in for the platform's weight store.
 */
package org.marjoramgw.standin.weightstore;
