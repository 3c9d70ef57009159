/**
 * Tests of org.marjoramgw.direct.caller.
 */
package org.marjoramgw.direct.caller;
