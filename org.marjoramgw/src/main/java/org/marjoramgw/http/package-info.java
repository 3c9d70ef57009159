/**
 * HTTP client, client connections and listener, on top of Pekko HTTP.
 */
package org.marjoramgw.http;
