/**
 * Contract tests of the weight store stand-in.
 */
package org.marjoramgw.standin.weightstore;
