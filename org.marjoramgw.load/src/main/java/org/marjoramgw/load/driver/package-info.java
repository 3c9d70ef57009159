/**
 * Open-loop driver that sends the arrivals of an experiment and records the answers.
 */
package org.marjoramgw.load.driver;
