/**
 * Load of the backend servers as all entry processes together see it.
 */
package org.marjoramgw.policy.fleet;
