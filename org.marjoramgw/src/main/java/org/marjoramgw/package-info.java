/**
 * Values that every program shares: time, result codes and network addresses.
 */
package org.marjoramgw;
