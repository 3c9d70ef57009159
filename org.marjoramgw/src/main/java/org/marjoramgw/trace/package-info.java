/**
 * In-memory log of the decisions that a process made about recent requests.
 */
package org.marjoramgw.trace;
