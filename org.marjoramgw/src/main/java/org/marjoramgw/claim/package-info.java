/**
 * Claims of idempotency keys, arbitrated by the order of the log.
 */
package org.marjoramgw.claim;
