/**
 * Connections to backend servers, and what their answers tell about them.
 */
package org.marjoramgw.direct.backend;
