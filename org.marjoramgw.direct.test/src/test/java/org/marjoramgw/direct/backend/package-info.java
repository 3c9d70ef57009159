/**
 * Tests of org.marjoramgw.direct.backend.
 */
package org.marjoramgw.direct.backend;
