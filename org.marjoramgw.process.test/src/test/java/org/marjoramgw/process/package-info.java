/**
 * Tests with real processes behind a fault-injecting proxy.
 */
package org.marjoramgw.process;
