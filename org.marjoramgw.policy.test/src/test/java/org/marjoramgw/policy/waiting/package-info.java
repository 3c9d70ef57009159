/**
 * Tests of the limit on starting requests.
 */
package org.marjoramgw.policy.waiting;
