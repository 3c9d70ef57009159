/**
 * Warm-up requests of a process to itself before it is ready, so that its code is loaded
 * and compiled when callers arrive.
 */
package org.marjoramgw.direct.warmup;
