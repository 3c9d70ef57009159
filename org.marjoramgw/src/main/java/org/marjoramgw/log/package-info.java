/**
 * Client of the platform's append-only log service and the stream of process starts.
 */
package org.marjoramgw.log;
