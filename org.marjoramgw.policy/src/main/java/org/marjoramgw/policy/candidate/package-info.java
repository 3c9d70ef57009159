/**
 * Choice of the side processes that get a reservation.
 */
package org.marjoramgw.policy.candidate;
