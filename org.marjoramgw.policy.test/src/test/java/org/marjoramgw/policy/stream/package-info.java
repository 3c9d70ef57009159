/**
 * Tests of the versions of streams.
 */
package org.marjoramgw.policy.stream;
