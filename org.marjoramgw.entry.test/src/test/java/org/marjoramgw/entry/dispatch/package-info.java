/**
 * Tests of the dispatch of requests.
 */
package org.marjoramgw.entry.dispatch;
