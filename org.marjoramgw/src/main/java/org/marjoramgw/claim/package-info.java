/**
 * Claims on idempotency keys, so that calls with the same key are executed at most once.
 * <p>
 * Claims are decided by the order of records in the log. A process appends a claim record
 * to the stream of the key's partition, reads the stream past that record, and may
 * execute the call only if its claim holds the key. The holder's result record is the
 * response to later calls with the key; a release record frees a key whose call is known
 * not to have run. The decision depends on no clock and on no lease.
 * <p>
 * A claim is retained for a window, 15 minutes by default, which must be shorter than the
 * log's retention and longer than the deadline of any request. A key that is a version 7
 * UUID carries its creation time; it is refused once it is older than the window, so that
 * its call can't run again after its claim was evicted. Any other key counts as a new key
 * after the window. If a partition has more keys than its limit, the oldest are evicted
 * before the end of the window. Until the window has passed for the evicted keys, keys
 * without a creation time are refused as not run, and keys with one are refused if they
 * are older than the newest evicted claim.
 * <p>
 * The window also limits how long the holder of a claim may be paused between its claim
 * and its call: it checks the request's deadline again before it executes the call.
 */
package org.marjoramgw.claim;
