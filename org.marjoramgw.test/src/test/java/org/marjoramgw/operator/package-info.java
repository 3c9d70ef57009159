/**
 * Tests of the operators' endpoint.
 */
package org.marjoramgw.operator;
