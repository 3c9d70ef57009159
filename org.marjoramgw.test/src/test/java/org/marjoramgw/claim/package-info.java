/**
 * Tests of the claims of idempotency keys.
 */
package org.marjoramgw.claim;
