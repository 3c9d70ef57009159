/**
 * Tests of the usage reports' process part.
 */
package org.marjoramgw.direct.duty;
