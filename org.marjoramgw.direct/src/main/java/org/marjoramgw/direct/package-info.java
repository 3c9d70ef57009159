/**
 * Entry that sends callers' requests straight to backend servers, for deployments whose
 * backend servers may be called by anyone.
 */
package org.marjoramgw.direct;
