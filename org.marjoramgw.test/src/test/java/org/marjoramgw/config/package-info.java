/**
 * Tests of the operators' configuration.
 */
package org.marjoramgw.config;
