/**
 * Open-loop load driver that sends the arrivals of an experiment and records the
 * outcomes.
 */
package org.marjoramgw.load.driver;
