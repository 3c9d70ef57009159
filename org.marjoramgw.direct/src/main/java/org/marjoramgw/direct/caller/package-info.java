/**
 * Connections of callers, and what their requests say.
 */
package org.marjoramgw.direct.caller;
