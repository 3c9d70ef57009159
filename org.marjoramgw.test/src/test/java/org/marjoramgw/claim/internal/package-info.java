/**
 * Tests of the claims of one partition.
 */
package org.marjoramgw.claim.internal;
