/**
 * Tests of engine orders and model loading.
 */
package org.marjoramgw.side.order;
