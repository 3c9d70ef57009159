/**
 * Tests of the exchange of digests.
 */
package org.marjoramgw.direct.peer;
