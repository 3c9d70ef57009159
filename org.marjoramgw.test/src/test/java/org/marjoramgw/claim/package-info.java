/**
 * Tests of claims on idempotency keys.
 */
package org.marjoramgw.claim;
