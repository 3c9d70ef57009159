/**
 * HTTP endpoint that each process offers to operators.
 */
package org.marjoramgw.operator;
