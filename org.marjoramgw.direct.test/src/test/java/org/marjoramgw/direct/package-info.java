/**
 * Tests of org.marjoramgw.direct and shared fixtures.
 */
package org.marjoramgw.direct;
