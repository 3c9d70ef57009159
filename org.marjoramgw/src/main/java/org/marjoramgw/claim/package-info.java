/**
 * Claims of idempotency keys, arbitrated by the order of the log.
 * <p>
 * A process appends a claim to the stream of the key's partition, reads the stream
 * through its own record, and may run the call only if its claim is the one that holds
 * the key. The holder's result record answers later calls with the key; a release record
 * frees a key whose call surely didn't run. No clock or lease takes part in the decision.
 * <p>
 * A key is remembered for a window, 15 minutes by default, which must be shorter than the
 * log's retention and longer than any request's deadline. A key in the form of a UUID of
 * version 7 carries the time when it was made: one older than the window is refused, so
 * that it is never forgotten and run again. Any other key is a new key after the window.
 * Where a partition holds more keys than its bound, the oldest are forgotten early; until
 * the window has passed them, keys that carry no time are refused as not run, and those
 * that carry one are refused if they are older than what was forgotten.
 * <p>
 * The window also bounds how long a holder may be paused between its claim and its call:
 * it checks the request's deadline once more before it runs.
 */
package org.marjoramgw.claim;
