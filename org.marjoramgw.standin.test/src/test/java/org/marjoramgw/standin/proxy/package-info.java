/**
 * Contract tests of the fault-injecting proxy.
 */
package org.marjoramgw.standin.proxy;
