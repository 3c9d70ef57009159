/**
 * Tests of org.marjoramgw.direct.model.
 */
package org.marjoramgw.direct.model;
