/**
 * Entry process that forwards requests directly to backend servers, for deployments whose
 * backend servers accept requests from any process.
 */
package org.marjoramgw.direct;
