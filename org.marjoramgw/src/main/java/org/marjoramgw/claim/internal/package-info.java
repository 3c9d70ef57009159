/**
 * Claims of one partition, derived from the records of its log stream.
 */
package org.marjoramgw.claim.internal;
