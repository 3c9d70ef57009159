/**
 * Exchange of digests with other entry processes over UDP.
 */
package org.marjoramgw.direct.peer;
