/**
 * HTTP endpoint of each process for health checks, metrics and operators.
 */
package org.marjoramgw.operator;
