/**
 * Tests of org.marjoramgw.direct.forward.
 */
package org.marjoramgw.direct.forward;
