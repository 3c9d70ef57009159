/**
 * Stand-in for the platform's append-only log service.
 */
package org.marjoramgw.standin.log;
