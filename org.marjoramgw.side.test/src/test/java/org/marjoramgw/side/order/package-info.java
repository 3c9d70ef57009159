/**
 * Tests of the orders to engines.
 */
package org.marjoramgw.side.order;
