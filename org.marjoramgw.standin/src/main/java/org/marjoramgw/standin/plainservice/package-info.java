/**
 * Stand-in for a plain service that records every execution.
 */
package org.marjoramgw.standin.plainservice;
