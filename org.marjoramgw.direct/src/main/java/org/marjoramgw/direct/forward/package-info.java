/**
 * Course of a caller's request: admission, choice of a backend server, attempts, answer.
 */
package org.marjoramgw.direct.forward;
