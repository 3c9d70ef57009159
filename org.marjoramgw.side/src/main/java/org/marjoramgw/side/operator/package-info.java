/**
 * Operators' endpoint.
 */
package org.marjoramgw.side.operator;
