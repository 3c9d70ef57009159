/**
 * Requests of a process to itself before callers are sent to it, so that code is loaded
 * and compiled by then.
 */
package org.marjoramgw.direct.warmup;
