/**
 * Tests of org.marjoramgw.direct.socket.
 */
package org.marjoramgw.direct.socket;
