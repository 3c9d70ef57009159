/**
 * Connections of callers and decoding of their requests.
 */
package org.marjoramgw.direct.caller;
