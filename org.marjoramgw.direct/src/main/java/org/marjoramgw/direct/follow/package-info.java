/**
 * Followers of the configuration and registration topics, and the state built from their
 * records with the age of its last confirmation.
 */
package org.marjoramgw.direct.follow;
