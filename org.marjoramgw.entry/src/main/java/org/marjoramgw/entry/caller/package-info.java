/**
 * HTTP endpoint for callers: parsing, authentication, classification and responses.
 */
package org.marjoramgw.entry.caller;
