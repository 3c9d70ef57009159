/**
 * Timers, and clocks that measure ages correctly when a VM is suspended or its wall clock
 * is changed.
 */
package org.marjoramgw.time;
