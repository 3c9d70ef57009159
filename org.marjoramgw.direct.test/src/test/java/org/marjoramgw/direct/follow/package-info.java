/**
 * Tests of org.marjoramgw.direct.follow.
 */
package org.marjoramgw.direct.follow;
