/**
 * Fault-injecting TCP proxy.
 */
package org.marjoramgw.standin.proxy;
