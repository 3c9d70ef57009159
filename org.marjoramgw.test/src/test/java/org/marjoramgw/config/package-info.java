/**
 * Tests of the configuration published by operators.
 */
package org.marjoramgw.config;
