/**
 * Claims of one partition, worked out from the records of its stream.
 */
package org.marjoramgw.claim.internal;
